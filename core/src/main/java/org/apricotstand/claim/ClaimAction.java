package org.apricotstand.claim;

/** Something to do for a claimed request. */
public sealed interface ClaimAction {

  /** Writes the row; ends with {@link ClaimEvent.WriteEnded}. */
  record Write(ClaimWrite write) implements ClaimAction {}

  /** Reads the row. */
  record Read(String key) implements ClaimAction {}

  /** Sends the call to a target, once. */
  record Dispatch() implements ClaimAction {}

  /** Asks the holder for the ending of its attempt. */
  record AskHolder(String holder, long holderIncarnation, String nonce, long deadlineMs)
      implements ClaimAction {}

  /** Tells the caller the ending; done exactly once. */
  record Finish(ClaimEnding ending) implements ClaimAction {}

  /** Tells a repeat that waits here the ending. */
  record Reply(String waitId, ClaimEnding ending) implements ClaimAction {}

  /** Sends {@link ClaimEvent.Woken} at a time. */
  record WakeAt(long dueMs) implements ClaimAction {}

  /** The machine has nothing left to do and is forgotten. */
  record Retire() implements ClaimAction {}
}
