package org.apricotstand.residency;

/** Input of {@link EngineSlots}: a request for a load, or the result of a call. */
public sealed interface SlotEvent {

  /**
   * Requests wait for an adapter to be loaded.
   *
   * @param version lowest version that can serve them
   * @param deadlineMs when the last of them stops waiting
   * @param latestStartMs latest start of the load with which the last of them is answered in time
   */
  record LoadRequested(AdapterKey key, long version, long deadlineMs, long latestStartMs)
      implements SlotEvent {}

  /** A command ended with a result; ignored unless it is the newest command. */
  record CommandAnswered(CommandResult result, long commandId) implements SlotEvent {}

  /** The engine reported its state. */
  record ReportReceived(EngineReport report) implements SlotEvent {}

  /** The request for a report of the engine failed. */
  record ReportFailed() implements SlotEvent {}

  /**
   * The engine refused a request because it does not hold an adapter that is recorded as resident.
   */
  record AdapterMissing() implements SlotEvent {}

  /** Periodic timer. */
  record Tick() implements SlotEvent {}
}
