package org.apricotstand.declaration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Alias;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.ServicePaths;
import org.apricotstand.model.AdapterVersion;

/**
 * Describes which requests a change from one valid set to another touches.
 *
 * <pre>{@code
 * List<AffectedRequests.Effect> effects = AffectedRequests.between(before, after);
 * }</pre>
 */
public final class AffectedRequests {

  private final DeclarationSet before;
  private final DeclarationSet after;
  private final List<Effect> effects = new ArrayList<>();

  private AffectedRequests(DeclarationSet before, DeclarationSet after) {
    this.before = before;
    this.after = after;
  }

  /**
   * A change for some requests.
   *
   * @param requests which requests, such as {@code path /orders}
   * @param before what happens to them by the earlier set
   * @param after what happens to them by the later set
   */
  public record Effect(String requests, String before, String after) {

    @Override
    public String toString() {
      return requests + ": " + before + " -> " + after;
    }
  }

  /** Returns the effects: of service paths, model names, versions, targets and the time-out. */
  public static List<Effect> between(DeclarationSet before, DeclarationSet after) {
    AffectedRequests requests = new AffectedRequests(before, after);
    requests.comparePaths();
    requests.compareModelNames();
    requests.compareVersions();
    requests.compareTargets();
    requests.compareTimeout();
    return List.copyOf(requests.effects);
  }

  private void comparePaths() {
    ServicePaths earlier = new ServicePaths(before.services());
    ServicePaths later = new ServicePaths(after.services());
    Stream.concat(before.services().stream(), after.services().stream())
        .map(service -> withoutTrailingSlash(service.path()))
        .distinct()
        .sorted()
        .forEach(
            path ->
                add(
                    "path " + path,
                    describeService(earlier.find(path)),
                    describeService(later.find(path))));
  }

  private static String withoutTrailingSlash(String path) {
    return path.length() > 1 && path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
  }

  private static String describeService(Optional<PlainService> found) {
    return found
        .map(
            service ->
                "service \""
                    + service.name()
                    + "\", "
                    + (service.repeatable() ? "repeatable" : "at most once" + identityOf(service)))
        .orElse("no service");
  }

  private static String identityOf(PlainService service) {
    if (service.identityHeader() != null) {
      return " by header " + service.identityHeader();
    }
    return service.identityPointer() == null ? "" : " by body " + service.identityPointer();
  }

  private void compareModelNames() {
    Map<String, Adapter> earlier = adaptersByCallerName(before);
    Map<String, Adapter> later = adaptersByCallerName(after);
    for (String name : union(earlier.keySet(), later.keySet())) {
      add("model " + name, describe(earlier.get(name)), describe(later.get(name)));
    }
  }

  private static String describe(Adapter adapter) {
    return adapter == null
        ? "unknown_model"
        : "adapter \"" + adapter.name() + "\" of model \"" + adapter.model() + "\"";
  }

  private static Map<String, Adapter> adaptersByCallerName(DeclarationSet set) {
    Map<String, Adapter> byName = new TreeMap<>();
    set.adapters().forEach(adapter -> byName.put(adapter.name(), adapter));
    for (Alias alias : set.aliases()) {
      byName.computeIfAbsent(alias.name(), unused -> byName.get(alias.adapter()));
    }
    return byName;
  }

  private void compareVersions() {
    Map<String, Adapter> earlier = adaptersByCallerName(before);
    Map<String, Adapter> later = adaptersByCallerName(after);
    // The effect of a name that is added or goes away is listed already.
    for (String name : union(earlier.keySet(), later.keySet())) {
      if (earlier.containsKey(name) && later.containsKey(name)) {
        compareVersions(name, earlier.get(name), later.get(name));
      }
    }
  }

  private void compareVersions(String name, Adapter earlier, Adapter later) {
    for (String version : union(Set.copyOf(earlier.versions()), Set.copyOf(later.versions()))) {
      add(
          "model " + name + AdapterVersion.SEPARATOR + version,
          earlier.versions().contains(version) ? "declared" : "unknown_model",
          later.versions().contains(version) ? "declared" : "unknown_model");
    }
    add(
        "model " + name + " without a version",
        describe(VersionShares.of(earlier)),
        describe(VersionShares.of(later)));
    add("model " + name, "class " + earlier.requestClass(), "class " + later.requestClass());
  }

  private static String describe(SortedMap<String, Double> shares) {
    return shares.entrySet().stream()
        .map(share -> String.format(Locale.ROOT, "%s %.2f%%", share.getKey(), share.getValue()))
        .collect(Collectors.joining(", "));
  }

  private void compareTargets() {
    Map<String, Long> earlier = targetCounts(before);
    Map<String, Long> later = targetCounts(after);
    for (String served : union(earlier.keySet(), later.keySet())) {
      add(
          served,
          earlier.getOrDefault(served, 0L) + " target(s)",
          later.getOrDefault(served, 0L) + " target(s)");
    }
  }

  private static Map<String, Long> targetCounts(DeclarationSet set) {
    return set.targets().stream()
        .collect(Collectors.groupingBy(AffectedRequests::describeServed, Collectors.counting()));
  }

  private static String describeServed(Target target) {
    return (target.runsModel() ? "adapters of model " : "service ") + target.serves();
  }

  private void compareTimeout() {
    add(
        "all requests",
        "time-out " + before.policy().requestTimeoutMs() + " ms",
        "time-out " + after.policy().requestTimeoutMs() + " ms");
  }

  private static SortedSet<String> union(Set<String> first, Set<String> second) {
    SortedSet<String> all = new TreeSet<>(first);
    all.addAll(second);
    return all;
  }

  private void add(String requests, String earlier, String later) {
    if (!Objects.equals(earlier, later)) {
      effects.add(new Effect(requests, earlier, later));
    }
  }
}
