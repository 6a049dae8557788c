package org.apricotstand.claim;

import java.util.Optional;
import org.apricotstand.model.Failure;

/** An event that a {@link ClaimMachine} handles. */
public sealed interface ClaimEvent {

  /** The request arrived at this instance; the first event. */
  record RequestReceived() implements ClaimEvent {}

  /** The last write that the machine requested ended. */
  record WriteEnded(WriteResult result) implements ClaimEvent {}

  /**
   * The claim row was read.
   *
   * @param current the row, or empty if it does not exist
   */
  record RowRead(Optional<StoredClaim> current) implements ClaimEvent {}

  /** The claim row could not be read. */
  record ReadFailed() implements ClaimEvent {}

  /** No byte of the request was sent to a target, and none will be. */
  record CallNotSent(Failure failure) implements ClaimEvent {}

  /** The target answered the request. */
  record CallAnswered(StoredAnswer answer) implements ClaimEvent {}

  /** The request was sent, but no complete answer arrived. */
  record CallOutcomeUnknown(Failure failure) implements ClaimEvent {}

  /** The holder of the claim reported the outcome of its attempt. */
  record HolderAnswered(ClaimOutcome outcome) implements ClaimEvent {}

  /** The holder cannot be asked: the link to it closed, or it was restarted. */
  record HolderLost() implements ClaimEvent {}

  /**
   * A duplicate of the request waits for the outcome of this attempt.
   *
   * @param waitId identifier of the waiter, for {@link ClaimAction.ReplyToWaiter}
   * @param deadlineMs when the duplicate stops waiting, monotonic
   */
  record WaitRequested(String waitId, long deadlineMs) implements ClaimEvent {}

  /** A duplicate no longer waits. */
  record WaitCanceled(String waitId) implements ClaimEvent {}

  /** The time of a {@link ClaimAction.SetTimer} was reached. */
  record TimerFired() implements ClaimEvent {}
}
