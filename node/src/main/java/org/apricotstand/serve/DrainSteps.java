package org.apricotstand.serve;

/**
 * What a {@link DrainRunner} reads and does. All calls but {@link #activeRequests} run on the
 * traffic thread.
 */
interface DrainSteps {

  /** Tells callers and other instances to leave; see {@code DrainAction.Leave}. */
  void leave(long refuseFromMs, long endMs);

  /** Gives each open request its final answer. */
  void endRequests();

  /** Takes no more connections and requests. */
  void stopAccepting();

  /** Starts to give the leases of all engines back. */
  void releaseEngines();

  /** Returns the number of connections with a request whose answer has not left. */
  int openRequests();

  /** Returns the number of requests that have not got their answer; any thread may call it. */
  int activeRequests();

  /** Returns the number of open connections. */
  int openConnections();

  /** Returns whether the instance owns no engine. */
  boolean isReleased();
}
