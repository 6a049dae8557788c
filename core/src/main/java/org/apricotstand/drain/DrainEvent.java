package org.apricotstand.drain;

/** What a draining instance reacts to. */
public sealed interface DrainEvent {

  /**
   * The instance was asked to stop.
   *
   * @param killedAtMs monotonic time at which the process is killed if it still runs
   */
  record StopRequested(long killedAtMs) implements DrainEvent {}

  /**
   * Time has passed.
   *
   * @param openRequests requests of callers that are being received, run or answered, until their
   *     answers have left
   * @param openConnections connections of callers
   * @param released whether the instance commands no engine
   */
  record Tick(int openRequests, int openConnections, boolean released) implements DrainEvent {}
}
