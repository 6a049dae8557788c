package org.apricotstand.limit;

/** Holds memory of a budget that several holders share. */
public interface MemoryHolder {

  /**
   * Releases the memory that is held for one purpose, since the budget is short.
   *
   * @param kind kind that was chosen; a request that has not ended goes with its head and body
   * @param reason text for the log
   */
  void giveUp(MemoryBudget.Kind kind, String reason);
}
