package org.apricotstand.claim;

/** An action that a {@link ClaimMachine} requests. */
public sealed interface ClaimAction {

  /** Writes the claim row; the result is reported by {@link ClaimEvent.WriteEnded}. */
  record Write(ClaimWrite write) implements ClaimAction {}

  /**
   * Reads the claim row; the result is reported by {@link ClaimEvent.RowRead} or {@link
   * ClaimEvent.ReadFailed}.
   */
  record Read(String key) implements ClaimAction {}

  /** Sends the request to a target; requested at most once. */
  record Dispatch() implements ClaimAction {}

  /**
   * Asks the instance that holds the claim for the outcome of its attempt.
   *
   * @param holder name of the instance
   * @param nonce nonce of its attempt
   * @param deadlineMs when this attempt stops waiting, monotonic
   */
  record AskHolder(String holder, long holderIncarnation, String nonce, long deadlineMs)
      implements ClaimAction {}

  /** Sends the outcome to the caller; requested exactly once. */
  record ReplyToCaller(ClaimOutcome outcome) implements ClaimAction {}

  /** Sends the outcome to a duplicate of the request that waits for it. */
  record ReplyToWaiter(String waitId, ClaimOutcome outcome) implements ClaimAction {}

  /**
   * Sends {@link ClaimEvent.TimerFired} at a time.
   *
   * @param dueMs monotonic time
   */
  record SetTimer(long dueMs) implements ClaimAction {}

  /** Discards the machine, which has nothing left to do. */
  record DiscardMachine() implements ClaimAction {}
}
