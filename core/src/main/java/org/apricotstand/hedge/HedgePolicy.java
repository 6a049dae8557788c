package org.apricotstand.hedge;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.TargetChooser;
import org.apricotstand.hedge.HedgeDecision.Reason;
import org.apricotstand.hedge.HedgeDecision.Refused;
import org.apricotstand.route.Route;

/**
 * Decides whether a late request gets a second attempt, and at which target. Answers the load in
 * which targets are late because they are overloaded: a hedge is sent only if every target that
 * could run it has room, causes no load of an adapter, and counts as a retry.
 */
public final class HedgePolicy {

  private HedgePolicy() {}

  /** Returns whether requests of a route can be hedged at all. */
  public static boolean canHedge(Route route) {
    return route.maxAttempts() > 1 && mayRunTwice(route);
  }

  private static boolean mayRunTwice(Route route) {
    return switch (route.kind()) {
      case IDEMPOTENT -> true;
      case NON_IDEMPOTENT -> false;
      case STREAM -> route.resumable();
    };
  }

  /**
   * Decides about one request whose delay has passed. The allowance and the retry are taken only if
   * the result is {@link HedgeDecision.Send}.
   *
   * @param allowance allowance of the service
   * @param tryReserveRetry reserves a retry in the retry budget of the service; called last
   */
  public static HedgeDecision decide(
      HedgeSituation situation, HedgeAllowance allowance, BooleanSupplier tryReserveRetry) {
    Optional<Reason> refusal = findRefusal(situation);
    if (refusal.isPresent()) {
      return new Refused(refusal.get());
    }
    List<Candidate> others = otherTargets(situation);
    if (others.stream().anyMatch(HedgePolicy::isFull)) {
      return new Refused(Reason.SHORT_OF_CAPACITY);
    }
    Optional<Candidate> chosen = choose(situation, others);
    if (chosen.isEmpty()) {
      return new Refused(Reason.NO_TARGET);
    }
    if (!allowance.allowsHedge()) {
      return new Refused(Reason.LIMIT);
    }
    if (!tryReserveRetry.getAsBoolean()) {
      return new Refused(Reason.RETRY_BUDGET);
    }
    allowance.recordHedge();
    return new HedgeDecision.Send(chosen.get());
  }

  private static Optional<Reason> findRefusal(HedgeSituation situation) {
    Route route = situation.route();
    // The attempt in flight is a run that is not counted yet.
    if (!canHedge(route) || situation.runs() + 1 >= route.maxAttempts()) {
      return Optional.of(Reason.NOT_REPEATABLE);
    }
    if (situation.answerBegun()) {
      return Optional.of(Reason.ANSWER_BEGUN);
    }
    if (situation.suspected()) {
      return Optional.of(Reason.SUSPECTED);
    }
    return situation.serviceHasWaiting() ? Optional.of(Reason.SHORT_OF_CAPACITY) : Optional.empty();
  }

  /** Returns the targets that could run the hedge now, or could if they were not full. */
  private static List<Candidate> otherTargets(HedgeSituation situation) {
    return situation.candidates().stream()
        .filter(Candidate::isResident)
        .filter(candidate -> !candidate.target().leaving())
        .filter(candidate -> candidate.sendDelayMs() == 0)
        .filter(candidate -> !candidate.target().id().equals(situation.firstTargetId()))
        .filter(candidate -> !situation.excludedTargetIds().contains(candidate.target().id()))
        .toList();
  }

  private static boolean isFull(Candidate candidate) {
    return candidate.load().total() >= candidate.target().maxConcurrentRequests();
  }

  private static Optional<Candidate> choose(HedgeSituation situation, List<Candidate> others) {
    return situation.adapter() == null
        ? TargetChooser.choosePlainTarget(situation.domain(), others)
        : TargetChooser.chooseEngine(situation.adapter(), situation.domain(), others);
  }
}
