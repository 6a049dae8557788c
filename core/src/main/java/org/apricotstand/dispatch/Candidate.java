package org.apricotstand.dispatch;

/**
 * A target that can be chosen for a request, with all that its cost depends on.
 *
 * @param target the target
 * @param load requests at the target, over all instances
 * @param availability whether the target can run the request now
 * @param canLoad whether the engine has a reachable owner that can load a missing model or adapter
 * @param queuedLoads adapters whose load waits for other loads at the engine
 * @param penaltyMs cost added for recent failures
 * @param sendDelayMs time until a request may be sent to the target, because of its limit; {@link
 *     #NEVER} if this instance may send none
 * @param rejecting whether the target rejected a request a moment ago because it was full
 * @param slowness time that the target takes, relative to its service; 1 if nothing is known
 */
public record Candidate(
    TargetEntry target,
    TargetLoad load,
    Availability availability,
    boolean canLoad,
    int queuedLoads,
    double penaltyMs,
    long sendDelayMs,
    boolean rejecting,
    double slowness) {

  /** Delay of a target to which this instance may send no request while its limit holds. */
  public static final long NEVER = Long.MAX_VALUE;

  /** Creates a candidate of the usual speed that rejected no request a moment ago. */
  public Candidate(
      TargetEntry target,
      TargetLoad load,
      Availability availability,
      boolean canLoad,
      int queuedLoads,
      double penaltyMs,
      long sendDelayMs) {
    this(target, load, availability, canLoad, queuedLoads, penaltyMs, sendDelayMs, false, 1);
  }

  /** Returns a candidate of a plain service, of the usual speed and not rejecting requests. */
  public static Candidate ofPlainService(
      TargetEntry target, TargetLoad load, double penaltyMs, long sendDelayMs) {
    return ofPlainService(target, load, penaltyMs, sendDelayMs, false, 1);
  }

  /** Returns a candidate of a plain service, whose targets need no adapter. */
  public static Candidate ofPlainService(
      TargetEntry target,
      TargetLoad load,
      double penaltyMs,
      long sendDelayMs,
      boolean rejecting,
      double slowness) {
    return new Candidate(
        target, load, Availability.RESIDENT, false, 0, penaltyMs, sendDelayMs, rejecting, slowness);
  }

  /** Returns whether the target can run the request now. */
  public boolean isResident() {
    return availability == Availability.RESIDENT;
  }

  /** Returns a copy with another penalty. */
  Candidate withPenaltyMs(double newPenaltyMs) {
    return new Candidate(
        target,
        load,
        availability,
        canLoad,
        queuedLoads,
        newPenaltyMs,
        sendDelayMs,
        rejecting,
        slowness);
  }
}
