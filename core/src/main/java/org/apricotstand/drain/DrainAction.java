package org.apricotstand.drain;

/**
 * What a draining instance has to do. The actions of one event are carried out before another
 * request can arrive.
 */
public sealed interface DrainAction {

  /**
   * Reports not ready, and tells callers and other instances to leave.
   *
   * @param refuseFromMs monotonic time from which requests are refused that could last until {@code
   *     endMs}
   * @param endMs monotonic time at which the requests still open are ended
   */
  record Leave(long refuseFromMs, long endMs) implements DrainAction {}

  /** Gives each open request its final answer now. */
  record EndRequests() implements DrainAction {}

  /** Takes no more connections and requests. */
  record StopAccepting() implements DrainAction {}

  /** Gives the leases of all engines back. */
  record ReleaseEngines() implements DrainAction {}

  /** Lets the process end. */
  record Exit() implements DrainAction {}
}
