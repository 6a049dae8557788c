package org.apricotstand.declaration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Alias;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Policy;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.FieldLocator.Position;
import org.apricotstand.model.RequestClass;

/**
 * Validates a whole set of declarations, including its cross references, and reports every error.
 *
 * <pre>{@code
 * List<ValidationError> errors = DeclarationValidator.validate(set, locator);
 * }</pre>
 */
public final class DeclarationValidator {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]*");
  private static final Pattern HEADER = Pattern.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]+");
  private static final Pattern POINTER = Pattern.compile("(/([^~/]|~[01])*)+");
  private static final Set<String> REQUEST_CLASSES =
      java.util.Arrays.stream(RequestClass.values())
          .map(value -> value.name().toLowerCase(Locale.ROOT))
          .collect(Collectors.toUnmodifiableSet());
  private static final Set<String> RESERVED_PATHS =
      Set.of("/v1/completions", "/v1/chat/completions");
  private static final String NAME_EXPECTED =
      "expected a name of letters, digits and . _ / - that starts with a letter or digit";

  private final DeclarationSet set;
  private final FieldLocator locator;
  // Counted once, because with 14,000 adapters and 920 targets, counting the engines again for each
  // adapter took most of the time of a validation.
  private final Map<String, Long> enginesByModel;
  private final List<ValidationError> errors = new ArrayList<>();

  private DeclarationValidator(DeclarationSet set, FieldLocator locator) {
    this.set = set;
    this.locator = locator;
    this.enginesByModel =
        set.targets().stream()
            .filter(Target::runsModel)
            .filter(target -> target.serves() != null)
            .collect(Collectors.groupingBy(Target::serves, Collectors.counting()));
  }

  /** Returns the errors ordered by file, line and field; empty if the set is valid. */
  public static List<ValidationError> validate(DeclarationSet set, FieldLocator locator) {
    DeclarationValidator validator = new DeclarationValidator(set, locator);
    validator.checkModels();
    validator.checkAdapters();
    validator.checkAliases();
    validator.checkServices();
    validator.checkTargets();
    validator.checkPolicy(set.policy());
    return validator.errors.stream().sorted(ValidationError.ORDER).toList();
  }

  private void checkModels() {
    checkNames("models", set.models(), Model::name);
  }

  private void checkAdapters() {
    checkNames("adapters", set.adapters(), Adapter::name);
    Set<String> models = names(set.models(), Model::name);
    for (int i = 0; i < set.adapters().size(); i++) {
      checkAdapter("adapters[" + i + "]", set.adapters().get(i), models);
    }
  }

  private void checkAdapter(String path, Adapter adapter, Set<String> models) {
    checkReference(path + ".model", adapter.model(), models, "model");
    checkVersions(path, adapter);
    checkRoute(path, adapter);
    require(
        REQUEST_CLASSES.contains(adapter.requestClass()),
        path + ".requestClass",
        "expected interactive, standard or background, got " + adapter.requestClass());
    long engineCount =
        adapter.model() == null ? 0 : enginesByModel.getOrDefault(adapter.model(), 0L);
    require(adapter.replicas() >= 0, path + ".replicas", "expected 0 or more");
    require(
        engineCount == 0 || adapter.replicas() <= engineCount,
        path + ".replicas",
        "expected at most the " + engineCount + " engines of the model, got " + adapter.replicas());
    require(
        adapter.stallWeight() == null || isFraction(adapter.stallWeight()),
        path + ".stallWeight",
        "expected 0 to 1, got " + adapter.stallWeight());
    require(
        adapter.maxInFlight() == null || adapter.maxInFlight() > 0,
        path + ".maxInFlight",
        "expected 1 or more, got " + adapter.maxInFlight());
  }

  private void checkVersions(String path, Adapter adapter) {
    require(!adapter.versions().isEmpty(), path + ".versions", "expected at least one version");
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < adapter.versions().size(); i++) {
      String version = adapter.versions().get(i);
      String versionPath = path + ".versions[" + i + "]";
      require(NAME.matcher(version).matches(), versionPath, NAME_EXPECTED + ", got " + version);
      require(seen.add(version), versionPath, "duplicate version " + version);
    }
  }

  private void checkRoute(String path, Adapter adapter) {
    adapter
        .route()
        .forEach(
            (version, weight) -> {
              String versionPath = path + ".route." + version;
              require(
                  adapter.versions().contains(version),
                  versionPath,
                  "version " + version + " is not declared in versions");
              require(weight >= 0, versionPath, "expected a weight of 0 or more, got " + weight);
            });
    require(
        adapter.route().isEmpty()
            || adapter.route().values().stream().anyMatch(weight -> weight > 0),
        path + ".route",
        "expected a weight above 0 for at least one version");
    if (adapter.shift() != null) {
      String to = adapter.shift().to();
      require(
          to != null && adapter.versions().contains(to),
          path + ".shift.to",
          "version " + to + " is not declared in versions");
      double percent = adapter.shift().percent();
      require(
          percent >= 0 && percent <= 100,
          path + ".shift.percent",
          "expected 0 to 100, got " + percent);
    }
  }

  private void checkAliases() {
    checkNames("aliases", set.aliases(), Alias::name);
    Set<String> adapters = names(set.adapters(), Adapter::name);
    for (int i = 0; i < set.aliases().size(); i++) {
      Alias alias = set.aliases().get(i);
      String path = "aliases[" + i + "]";
      checkReference(path + ".adapter", alias.adapter(), adapters, "adapter");
      require(
          !adapters.contains(alias.name()),
          path + ".name",
          "alias hides the adapter " + alias.name());
    }
  }

  private void checkServices() {
    checkNames("services", set.services(), PlainService::name);
    Map<String, String> serviceNamesByPath = new HashMap<>();
    for (int i = 0; i < set.services().size(); i++) {
      PlainService service = set.services().get(i);
      String path = "services[" + i + "]";
      checkServicePath(path + ".path", service, serviceNamesByPath);
      checkIdentity(path, service);
    }
  }

  private void checkServicePath(
      String path, PlainService service, Map<String, String> serviceNamesByPath) {
    String prefix = service.path();
    if (prefix == null
        || !prefix.startsWith("/")
        || prefix.contains("//")
        || prefix.contains("?")
        || prefix.contains("#")) {
      addError(path, "expected a path prefix such as /orders, got " + prefix);
      return;
    }
    String normalized = ServicePaths.withoutTrailingSlash(prefix);
    require(!RESERVED_PATHS.contains(normalized), path, prefix + " is a path of model requests");
    String other = serviceNamesByPath.putIfAbsent(normalized, service.name());
    require(other == null, path, "duplicate path " + prefix + ", also of service " + other);
  }

  private void checkIdentity(String path, PlainService service) {
    String header = service.identityHeader();
    String pointer = service.identityPointer();
    require(
        header == null || HEADER.matcher(header).matches(),
        path + ".identityHeader",
        "expected the name of a header, got " + header);
    require(
        pointer == null || POINTER.matcher(pointer).matches(),
        path + ".identityPointer",
        "expected a JSON pointer such as /order/number, got " + pointer);
    require(
        header == null || pointer == null,
        path + ".identityPointer",
        "expected either identityHeader or identityPointer, not both");
    require(
        !service.repeatable() || (header == null && pointer == null),
        path + (header == null ? ".identityPointer" : ".identityHeader"),
        "expected no identity for a repeatable service");
  }

  private void checkTargets() {
    checkNames("targets", set.targets(), Target::name);
    Set<String> models = names(set.models(), Model::name);
    Set<String> services = names(set.services(), PlainService::name);
    Map<String, String> targetNamesByAddress = new HashMap<>();
    for (int i = 0; i < set.targets().size(); i++) {
      Target target = set.targets().get(i);
      String path = "targets[" + i + "]";
      checkTarget(path, target, models, services);
      if (!Addresses.isValid(target.address(), 1)) {
        addError(path + ".address", Addresses.EXPECTED_FORMAT + ", got " + target.address());
      } else {
        String other = targetNamesByAddress.putIfAbsent(target.address(), target.name());
        require(other == null, path + ".address", "duplicate address, also of target " + other);
      }
    }
  }

  private void checkTarget(String path, Target target, Set<String> models, Set<String> services) {
    boolean isEngine = target.runsModel();
    require(
        isEngine || Target.SERVICE.equals(target.kind()),
        path + ".kind",
        "expected engine or service, got " + target.kind());
    checkReference(
        path + ".serves",
        target.serves(),
        isEngine ? models : services,
        isEngine ? "model" : "service");
    checkName(path + ".domain", target.domain());
    require(
        "enforced".equals(target.fencing()) || "ignored".equals(target.fencing()),
        path + ".fencing",
        "expected enforced or ignored, got " + target.fencing());
    if (isEngine) {
      require(target.slots() >= 1, path + ".slots", "expected 1 or more, got " + target.slots());
      require(
          target.maxBatch() >= 1,
          path + ".maxBatch",
          "expected 1 or more, got " + target.maxBatch());
    } else {
      require(target.slots() == 0, path + ".slots", "expected none for a service");
      require(target.maxBatch() == 0, path + ".maxBatch", "expected none for a service");
    }
  }

  private void checkPolicy(Policy policy) {
    require(
        isFraction(policy.stallWeight()),
        "policy.stallWeight",
        "expected 0 to 1, got " + policy.stallWeight());
    require(policy.loadsPerSecond() > 0, "policy.loadsPerSecond", "expected a rate above 0");
    require(policy.loadsInFlight() >= 1, "policy.loadsInFlight", "expected 1 or more");
    require(policy.requestTimeoutMs() >= 1, "policy.requestTimeoutMs", "expected 1 or more");
    require(policy.leavingTimeMs() >= 0, "policy.leavingTimeMs", "expected 0 or more");
    require(
        policy.maxInProgressPerCaller() >= 1,
        "policy.maxInProgressPerCaller",
        "expected 1 or more");
    require(
        policy.maxInProgressPerClass() >= 1, "policy.maxInProgressPerClass", "expected 1 or more");
    require(
        isFraction(policy.retryBudgetRatio()),
        "policy.retryBudgetRatio",
        "expected 0 to 1, got " + policy.retryBudgetRatio());
  }

  private static boolean isFraction(double value) {
    return value >= 0 && value <= 1;
  }

  private <T> void checkNames(String list, List<T> items, Function<T, String> nameOf) {
    Map<String, Integer> firstIndexByName = new HashMap<>();
    for (int i = 0; i < items.size(); i++) {
      String name = nameOf.apply(items.get(i));
      String path = list + "[" + i + "].name";
      checkName(path, name);
      Integer firstIndex = name == null ? null : firstIndexByName.putIfAbsent(name, i);
      if (firstIndex != null) {
        Position position = locator.locate(list + "[" + firstIndex + "].name");
        addError(
            path,
            "duplicate name " + name + ", first at " + position.file() + ":" + position.line());
      }
    }
  }

  private void checkName(String path, String name) {
    require(name != null && NAME.matcher(name).matches(), path, NAME_EXPECTED + ", got " + name);
  }

  private void checkReference(String path, String name, Set<String> declaredNames, String kind) {
    require(name != null && declaredNames.contains(name), path, "unknown " + kind + " " + name);
  }

  private static <T> Set<String> names(List<T> items, Function<T, String> nameOf) {
    return items.stream().map(nameOf).collect(Collectors.toSet());
  }

  private void require(boolean isValid, String path, String expected) {
    if (!isValid) {
      addError(path, expected);
    }
  }

  private void addError(String path, String expected) {
    Position position = locator.locate(path);
    errors.add(new ValidationError(position.file(), position.line(), position.field(), expected));
  }
}
