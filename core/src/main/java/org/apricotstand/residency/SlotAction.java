package org.apricotstand.residency;

/** Output of {@link EngineSlots}. */
public sealed interface SlotAction {

  /**
   * Send a command; its result is reported by {@link SlotEvent.Answered}.
   *
   * @param expectedSequence sequence that the engine must have; -1 for any
   * @param number number of the command at this owner
   */
  record Send(EngineCommand command, long expectedSequence, long number) implements SlotAction {}

  /** Ask the engine for its state. */
  record AskReport() implements SlotAction {}

  /** Tell all instances what the engine holds. */
  record Publish(Residency residency) implements SlotAction {}
}
