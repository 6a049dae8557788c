package org.apricotstand.residency;

/** Input of {@link EngineSlots}. */
public sealed interface SlotEvent {

  /**
   * Requests wait for an adapter.
   *
   * @param version least version that serves them
   * @param deadlineMs when the last of them gives up
   * @param onTimeUntilMs when a load has to begin so that the last of them is answered in time
   */
  record Wanted(AdapterKey key, long version, long deadlineMs, long onTimeUntilMs)
      implements SlotEvent {}

  /** The engine answered the command of the given number; older ones are ignored. */
  record Answered(CommandResult result, long number) implements SlotEvent {}

  /** The engine reported its state. */
  record Reported(EngineReport report) implements SlotEvent {}

  /** The engine did not report its state. */
  record ReportFailed() implements SlotEvent {}

  /** The engine refused a request for an adapter that it should hold. */
  record Contradicted() implements SlotEvent {}

  /** Time passed. */
  record Tick() implements SlotEvent {}
}
