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

/** Lists the targets of a plain service in turn. Used on the control thread. */
final class ServiceTargets {

  private final String domain;
  private final Predicate<TargetId> leaving;
  private final Map<String, Integer> turns = new HashMap<>();

  /**
   * Creates the list.
   *
   * @param domain failure domain whose targets come first
   * @param leaving targets that receive no new work
   */
  ServiceTargets(String domain, Predicate<TargetId> leaving) {
    this.domain = domain;
    this.leaving = leaving;
  }

  /** Returns the usable targets in the order of attempts; the next call starts with another one. */
  List<Target> next(Revision revision, PlainService service) {
    List<Target> usable =
        revision.declarations().targets().stream()
            .filter(target -> !target.runsModel())
            .filter(target -> target.serves().equals(service.name()))
            .filter(target -> !leaving.test(new TargetId(target.name())))
            .toList();
    int turn = turns.merge(service.name(), 1, (old, one) -> (old + one) & Integer.MAX_VALUE);
    List<Target> ordered = rotated(usable.stream().filter(this::isNear).toList(), turn);
    ordered.addAll(rotated(usable.stream().filter(target -> !isNear(target)).toList(), turn));
    return ordered;
  }

  private boolean isNear(Target target) {
    return domain.equals(target.domain());
  }

  private static List<Target> rotated(List<Target> targets, int turn) {
    List<Target> rotated = new ArrayList<>(targets);
    if (!rotated.isEmpty()) {
      java.util.Collections.rotate(rotated, -(turn % rotated.size()));
    }
    return rotated;
  }
}
