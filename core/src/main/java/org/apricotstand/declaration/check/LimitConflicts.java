package org.apricotstand.declaration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Model;
import org.apricotstand.declaration.DeclarationSet.Policy;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.FieldLocator;
import org.apricotstand.model.RequestClass;

/** Finds limits of a valid set that contradict each other or the capacity of the engines. */
final class LimitConflicts {

  private static final double SECOND_MS = 1_000.0;
  // Instances read the list of leaving targets every 1 to 2 s and act on it at once.
  private static final long MAX_LIST_AGE_MS = 2_000;

  private final DeclarationSet set;
  private final FieldLocator locator;
  private final Map<String, Integer> slotsByModel;
  private final Map<String, List<Adapter>> adaptersByModel;
  private final List<Finding> findings = new ArrayList<>();

  LimitConflicts(DeclarationSet set, FieldLocator locator) {
    this.set = set;
    this.locator = locator;
    this.slotsByModel =
        set.targets().stream()
            .filter(Target::runsModel)
            .collect(Collectors.groupingBy(Target::serves, Collectors.summingInt(Target::slots)));
    this.adaptersByModel = set.adapters().stream().collect(Collectors.groupingBy(Adapter::model));
  }

  List<Finding> find() {
    findAdapterLimitsOverClassLimit();
    findCallerLimitOverClassLimits();
    findTimeoutUnderLoadInterval();
    findLeavingTimeUnderListAge();
    for (int i = 0; i < set.models().size(); i++) {
      String path = "models[" + i + "].name";
      findPinnedVersionsOverSlots(path, set.models().get(i));
      findReplicasOverSlots(path, set.models().get(i));
    }
    return findings;
  }

  private void findAdapterLimitsOverClassLimit() {
    int classLimit = set.policy().maxInProgressPerClass();
    for (int i = 0; i < set.adapters().size(); i++) {
      Adapter adapter = set.adapters().get(i);
      if (adapter.maxInFlight() != null && adapter.maxInFlight() > classLimit) {
        add(
            "adapter-limit-over-class-limit",
            "adapters[" + i + "].maxInFlight",
            "maxInFlight %d of adapter \"%s\" is above maxInProgressPerClass %d, which applies first"
                .formatted(adapter.maxInFlight(), adapter.name(), classLimit));
      }
    }
  }

  private void findCallerLimitOverClassLimits() {
    Policy policy = set.policy();
    long allClasses = (long) RequestClass.values().length * policy.maxInProgressPerClass();
    if (policy.maxInProgressPerCaller() > allClasses) {
      add(
          "caller-limit-over-class-limits",
          "policy.maxInProgressPerCaller",
          "maxInProgressPerCaller %d is above the %d that maxInProgressPerClass %d admits in all classes"
              .formatted(
                  policy.maxInProgressPerCaller(), allClasses, policy.maxInProgressPerClass()));
    }
  }

  private void findTimeoutUnderLoadInterval() {
    Policy policy = set.policy();
    double loadIntervalMs = SECOND_MS / policy.loadsPerSecond();
    if (policy.requestTimeoutMs() < loadIntervalMs) {
      add(
          "timeout-under-load-interval",
          "policy.requestTimeoutMs",
          "requestTimeoutMs %d is shorter than the %d ms between two loads at loadsPerSecond %s"
              .formatted(
                  policy.requestTimeoutMs(),
                  (long) Math.ceil(loadIntervalMs),
                  policy.loadsPerSecond()));
    }
  }

  private void findLeavingTimeUnderListAge() {
    long leavingTimeMs = set.policy().leavingTimeMs();
    if (leavingTimeMs < MAX_LIST_AGE_MS) {
      add(
          "leaving-time-under-list-age",
          "policy.leavingTimeMs",
          "leavingTimeMs %d is shorter than the %d ms within which instances learn of a leaving target"
              .formatted(leavingTimeMs, MAX_LIST_AGE_MS));
    }
  }

  private void findPinnedVersionsOverSlots(String path, Model model) {
    List<Adapter> adapters = adaptersByModel.getOrDefault(model.name(), List.of());
    int versions = adapters.stream().mapToInt(adapter -> adapter.versions().size()).sum();
    int pinned =
        adapters.stream()
            .filter(Adapter::pinned)
            .mapToInt(adapter -> adapter.versions().size())
            .sum();
    int slots = slotsByModel.getOrDefault(model.name(), 0);
    boolean isFull = pinned > slots || (pinned == slots && versions > pinned);
    if (slots > 0 && isFull) {
      add(
          "pinned-versions-over-slots",
          path,
          "model \"%s\" has %d pinned adapter versions and %d slots on its engines, which leaves no slot for others"
              .formatted(model.name(), pinned, slots));
    }
  }

  // One replica is the default and does not say that the adapter is to stay loaded.
  private void findReplicasOverSlots(String path, Model model) {
    int replicas =
        adaptersByModel.getOrDefault(model.name(), List.of()).stream()
            .mapToInt(Adapter::replicas)
            .filter(count -> count > 1)
            .sum();
    int slots = slotsByModel.getOrDefault(model.name(), 0);
    if (slots > 0 && replicas > slots) {
      add(
          "replicas-over-slots",
          path,
          "model \"%s\" has adapters with %d replicas together and %d slots on its engines"
              .formatted(model.name(), replicas, slots));
    }
  }

  private void add(String rule, String path, String message) {
    findings.add(Finding.at(Finding.Severity.WARNING, rule, locator.locate(path), message));
  }
}
