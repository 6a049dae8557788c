package org.apricotstand.residency;

/** Call or notification that {@link EngineSlots} asks its caller to carry out. */
public sealed interface SlotAction {

  /**
   * Sends a command to the engine; its result is passed back as {@link SlotEvent.CommandAnswered}.
   *
   * @param expectedSequence sequence that the engine must have to carry the command out; -1 for any
   * @param commandId number of the command, counted by this owner
   */
  record SendCommand(EngineCommand command, long expectedSequence, long commandId)
      implements SlotAction {}

  /** Requests a report of its state from the engine. */
  record RequestReport() implements SlotAction {}

  /** Publishes to all instances what the engine holds. */
  record Publish(Residency residency) implements SlotAction {}
}
