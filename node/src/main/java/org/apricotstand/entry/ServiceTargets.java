package org.apricotstand.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apricotstand.configuration.Revision;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.TargetId;

/**
 * Orders the targets of a plain service for the attempts of a call, by round robin. Must be used on
 * the control thread.
 */
final class ServiceTargets {

  private final String domain;
  private final Predicate<TargetId> isLeaving;

  /** Number of calls so far, by service name; determines the first target of the next call. */
  private final Map<String, Integer> callCountByService = new HashMap<>();

  /**
   * Creates a rotation over the targets of each service.
   *
   * @param domain failure domain whose targets come first
   * @param isLeaving whether a target is leaving and receives no new calls
   */
  ServiceTargets(String domain, Predicate<TargetId> isLeaving) {
    this.domain = domain;
    this.isLeaving = isLeaving;
  }

  /**
   * Returns the targets of a service that are not leaving, in the order of attempts: those in the
   * instance's own failure domain, then the others. The next call starts with the next target of
   * each group.
   */
  List<Target> nextAttemptOrder(Revision revision, PlainService service) {
    List<Target> usable =
        revision.declarations().targets().stream()
            .filter(target -> !target.runsModel())
            .filter(target -> target.serves().equals(service.name()))
            .filter(target -> !isLeaving.test(new TargetId(target.name())))
            .toList();
    int callCount =
        callCountByService.merge(service.name(), 1, (old, one) -> (old + one) & Integer.MAX_VALUE);
    List<Target> ordered = rotate(usable.stream().filter(this::isInOwnDomain).toList(), callCount);
    ordered.addAll(
        rotate(usable.stream().filter(target -> !isInOwnDomain(target)).toList(), callCount));
    return ordered;
  }

  private boolean isInOwnDomain(Target target) {
    return domain.equals(target.domain());
  }

  private static List<Target> rotate(List<Target> targets, int distance) {
    List<Target> rotated = new ArrayList<>(targets);
    if (!rotated.isEmpty()) {
      java.util.Collections.rotate(rotated, -(distance % rotated.size()));
    }
    return rotated;
  }
}
