package org.apricotstand.dispatch;

/**
 * A target that may get a request.
 *
 * @param target the target
 * @param load requests at it
 * @param resident whether it can run the request now
 * @param arriving whether what the request needs is on its way
 * @param stale whether the target holds an older version than the request needs
 * @param warm whether the target held what is missing recently and loads it fast
 * @param loadable whether an owner that can be reached may load what is missing
 * @param penaltyMs extra cost for recent failures
 */
public record Candidate(
    TargetEntry target,
    TargetLoad load,
    boolean resident,
    boolean arriving,
    boolean stale,
    boolean warm,
    boolean loadable,
    double penaltyMs) {

  /** Returns this candidate with another penalty. */
  Candidate withPenaltyMs(double changedMs) {
    return new Candidate(target, load, resident, arriving, stale, warm, loadable, changedMs);
  }
}
