package org.apricotstand.declaration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.FieldLocator;

/** Finds entries of a valid set that no request can reach or that change nothing. */
final class UnusedEntries {

  private static final double ALL_PERCENT = 100.0;

  private final DeclarationSet set;
  private final FieldLocator locator;
  private final List<Finding> findings = new ArrayList<>();

  UnusedEntries(DeclarationSet set, FieldLocator locator) {
    this.set = set;
    this.locator = locator;
  }

  List<Finding> find() {
    findModelsWithoutAdapter();
    findModelsWithoutEngine();
    findServicesWithoutTarget();
    findPathsOutsideUrls();
    for (int i = 0; i < set.adapters().size(); i++) {
      String path = "adapters[" + i + "]";
      findRouteBehindShift(path, set.adapters().get(i));
      findShiftWithoutEffect(path, set.adapters().get(i));
    }
    return findings;
  }

  // Callers name adapters, never base models.
  private void findModelsWithoutAdapter() {
    Set<String> used = set.adapters().stream().map(Adapter::model).collect(Collectors.toSet());
    for (int i = 0; i < set.models().size(); i++) {
      Model model = set.models().get(i);
      if (!used.contains(model.name())) {
        add(
            "model-without-adapter",
            "models[" + i + "].name",
            "model \"" + model.name() + "\" has no adapter, so that no request can name it");
      }
    }
  }

  private void findModelsWithoutEngine() {
    Set<String> served = servedBy(true);
    Set<String> used = set.adapters().stream().map(Adapter::model).collect(Collectors.toSet());
    for (int i = 0; i < set.models().size(); i++) {
      Model model = set.models().get(i);
      if (used.contains(model.name()) && !served.contains(model.name())) {
        add(
            "model-without-engine",
            "models[" + i + "].name",
            "model \"" + model.name() + "\" has adapters but no engine that serves it");
      }
    }
  }

  private void findServicesWithoutTarget() {
    Set<String> served = servedBy(false);
    for (int i = 0; i < set.services().size(); i++) {
      PlainService service = set.services().get(i);
      if (!served.contains(service.name())) {
        add(
            "service-without-target",
            "services[" + i + "].name",
            "service \"" + service.name() + "\" has no target that serves it");
      }
    }
  }

  private void findPathsOutsideUrls() {
    for (int i = 0; i < set.services().size(); i++) {
      PlainService service = set.services().get(i);
      if (!service.path().chars().allMatch(UnusedEntries::canOccurInPath)) {
        add(
            "path-never-matches",
            "services[" + i + "].path",
            "path \""
                + service.path()
                + "\" of service \""
                + service.name()
                + "\" has a character that no request path contains unescaped");
      }
    }
  }

  private static boolean canOccurInPath(int character) {
    return character > ' ' && character < 0x7f;
  }

  private void findRouteBehindShift(String path, Adapter adapter) {
    if (adapter.shift() == null
        || adapter.shift().percent() < ALL_PERCENT
        || adapter.route().isEmpty()
        || isOnlyRoutedVersion(adapter, adapter.shift().to())) {
      return;
    }
    add(
        "route-behind-shift",
        path + ".route",
        "route of adapter \""
            + adapter.name()
            + "\" is never used: shift moves 100 percent to \""
            + adapter.shift().to()
            + "\"");
  }

  private void findShiftWithoutEffect(String path, Adapter adapter) {
    if (adapter.shift() == null) {
      return;
    }
    if (adapter.shift().percent() == 0) {
      add(
          "shift-without-effect",
          path + ".shift.percent",
          "shift of adapter \"" + adapter.name() + "\" moves 0 percent");
    } else if (isOnlyRoutedVersion(adapter, adapter.shift().to())) {
      add(
          "shift-without-effect",
          path + ".shift.to",
          "shift of adapter \""
              + adapter.name()
              + "\" moves requests to \""
              + adapter.shift().to()
              + "\", which gets all of them already");
    }
  }

  private static boolean isOnlyRoutedVersion(Adapter adapter, String version) {
    return VersionShares.ofRoute(adapter).keySet().equals(Set.of(version));
  }

  private Set<String> servedBy(boolean engines) {
    return set.targets().stream()
        .filter(target -> target.runsModel() == engines)
        .map(Target::serves)
        .collect(Collectors.toSet());
  }

  private void add(String rule, String path, String message) {
    findings.add(Finding.at(Finding.Severity.WARNING, rule, locator.locate(path), message));
  }
}
