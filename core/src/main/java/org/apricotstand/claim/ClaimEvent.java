package org.apricotstand.claim;

import java.util.Optional;
import org.apricotstand.model.Failure;

/** Something that happened to a claimed request. */
public sealed interface ClaimEvent {

  /** The request arrived; the first event. */
  record Begun() implements ClaimEvent {}

  /** The write that the machine ordered last ended. */
  record WriteEnded(WriteResult result) implements ClaimEvent {}

  /** The row was read. */
  record RowRead(Optional<StoredClaim> current) implements ClaimEvent {}

  /** The row could not be read. */
  record ReadFailed() implements ClaimEvent {}

  /** No byte of the call went to a target, and none will. */
  record CallNotSent(Failure failure) implements ClaimEvent {}

  /** The target answered. */
  record CallAnswered(StoredAnswer answer) implements ClaimEvent {}

  /** The call was sent and its whole answer did not arrive. */
  record CallLost(Failure failure) implements ClaimEvent {}

  /** The holder of the claim answered. */
  record HolderAnswered(ClaimEnding ending) implements ClaimEvent {}

  /** The holder cannot be asked: the link closed, or it is another incarnation. */
  record HolderLost() implements ClaimEvent {}

  /** A repeat of the request waits for the ending of this claim. */
  record Waited(String waitId, long deadlineMs) implements ClaimEvent {}

  /** A repeat no longer waits. */
  record WaitCanceled(String waitId) implements ClaimEvent {}

  /** The time of a {@link ClaimAction.WakeAt} came. */
  record Woken() implements ClaimEvent {}
}
