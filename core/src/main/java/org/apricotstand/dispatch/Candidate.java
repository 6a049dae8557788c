package org.apricotstand.dispatch;

/**
 * A target that may get a request.
 *
 * @param target the target
 * @param load requests at it
 * @param availability whether it can run the request now
 * @param loadable whether an owner that can be reached may load what is missing
 * @param queuedLoads adapters whose load waits there for others
 * @param penaltyMs extra cost for recent failures
 */
public record Candidate(
    TargetEntry target,
    TargetLoad load,
    Availability availability,
    boolean loadable,
    int queuedLoads,
    double penaltyMs) {

  /** Returns a target that needs no adapter. */
  public static Candidate plain(TargetEntry target, TargetLoad load, double penaltyMs) {
    return new Candidate(target, load, Availability.RESIDENT, false, 0, penaltyMs);
  }

  /** Returns whether the target can run the request now. */
  public boolean isResident() {
    return availability == Availability.RESIDENT;
  }

  /** Returns this candidate with another penalty. */
  Candidate withPenaltyMs(double changedMs) {
    return new Candidate(target, load, availability, loadable, queuedLoads, changedMs);
  }
}
