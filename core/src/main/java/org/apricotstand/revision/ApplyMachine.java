package org.apricotstand.revision;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/**
 * Applies one set of declarations: reads the head row, stores the content, and replaces the head
 * row if it is still the one that was read. If the answer to that write is lost, the row is read
 * again to find out whether it was replaced.
 *
 * <pre>{@code
 * ApplyMachine machine = new ApplyMachine(hash, nonce, OptionalLong.empty(), deadlineMs);
 * ApplyAction action = machine.start(nowMs);
 * }</pre>
 *
 * <p>Each event results in exactly one action. A change is reported as refused or in conflict only
 * when no write that was sent can still take effect.
 */
public final class ApplyMachine {

  private static final long RETRY_DELAY_MS = 250;

  private enum State {
    READING,
    STORING,
    COMMITTING,
    RESOLVING,
    ENDED
  }

  private final String contentHash;
  private final String nonce;
  private final OptionalLong baseRevision;
  private final long deadlineMs;
  private State state = State.READING;
  private Optional<HeadRow> baseRow = Optional.empty();
  private ApplyAction.Commit lastCommit;
  private boolean mayHaveCommitted;

  /**
   * Creates a machine.
   *
   * @param contentHash name of the content in the object store
   * @param nonce random text, different for each attempt of an operator
   * @param baseRevision revision on which the change was based; the current one when absent
   * @param deadlineMs monotonic time after which a failed call is not retried
   */
  public ApplyMachine(
      String contentHash, String nonce, OptionalLong baseRevision, long deadlineMs) {
    this.contentHash = contentHash;
    this.nonce = nonce;
    this.baseRevision = baseRevision;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the first action; {@code nowMs} is monotonic time. */
  public ApplyAction start(long nowMs) {
    return new ApplyAction.ReadHead(nowMs);
  }

  /**
   * Handles the result of the last action and returns the next one.
   *
   * @param nowMs monotonic time
   */
  public ApplyAction handle(ApplyEvent event, long nowMs) {
    return switch (event) {
      case ApplyEvent.HeadRead(Optional<HeadRow> row) when state == State.READING ->
          handleFirstRead(row, nowMs);
      case ApplyEvent.HeadRead(Optional<HeadRow> row) -> resolveCommit(row, nowMs);
      case ApplyEvent.HeadUnreadable(Failure failure) ->
          retryUntilDeadline(new ApplyAction.ReadHead(nowMs + RETRY_DELAY_MS), failure, nowMs);
      case ApplyEvent.ContentStored() -> startCommit(nowMs);
      case ApplyEvent.ContentNotStored(Failure failure) ->
          retryUntilDeadline(new ApplyAction.StoreContent(nowMs + RETRY_DELAY_MS), failure, nowMs);
      case ApplyEvent.Committed() -> finish(new ApplyOutcome.Accepted(nextRevisionNumber()));
      case ApplyEvent.Conflicted(Optional<HeadRow> current) -> resolveCommit(current, nowMs);
      case ApplyEvent.CommitOutcomeUnknown(Failure failure) -> {
        mayHaveCommitted = true;
        state = State.RESOLVING;
        yield new ApplyAction.ReadHead(nowMs + RETRY_DELAY_MS);
      }
      case ApplyEvent.CommitNotSent(Failure failure) ->
          retryUntilDeadline(retryCommit(nowMs), failure, nowMs);
    };
  }

  private ApplyAction handleFirstRead(Optional<HeadRow> row, long nowMs) {
    baseRow = row;
    long currentRevision = row.map(currentRow -> currentRow.head().revision()).orElse(0L);
    if (baseRevision.isPresent() && baseRevision.getAsLong() != currentRevision) {
      return row.isPresent()
          ? finishWithConflict(row.get())
          : finish(
              new ApplyOutcome.Refused(
                  new Failure(Step.PLATFORM, "head", "unknown_base", "there is no revision yet")));
    }
    if (row.isPresent() && row.get().head().contentHash().equals(contentHash)) {
      return finish(new ApplyOutcome.Unchanged(currentRevision));
    }
    state = State.STORING;
    return new ApplyAction.StoreContent(nowMs);
  }

  private ApplyAction startCommit(long nowMs) {
    state = State.COMMITTING;
    AcceptedRevision head = new AcceptedRevision(nextRevisionNumber(), contentHash, nonce);
    List<AcceptedRevision> history = baseRow.map(HeadRow::historyForNextRow).orElse(List.of());
    lastCommit =
        new ApplyAction.Commit(
            baseRow.map(HeadRow::rowVersion).orElse(0L), new HeadRow(head, history, 0), nowMs);
    return lastCommit;
  }

  private ApplyAction retryCommit(long nowMs) {
    return new ApplyAction.Commit(
        lastCommit.expectedVersion(), lastCommit.newRow(), nowMs + RETRY_DELAY_MS);
  }

  private long nextRevisionNumber() {
    return baseRow.map(row -> row.head().revision()).orElse(0L) + 1;
  }

  /** Decides from the current row whether a write whose answer was lost took effect. */
  private ApplyAction resolveCommit(Optional<HeadRow> current, long nowMs) {
    long version = current.map(HeadRow::rowVersion).orElse(0L);
    if (version == lastCommit.expectedVersion()) {
      // The write was lost or may still arrive. It can be sent again, since both expect the same
      // row version and at most one of them takes effect.
      state = State.COMMITTING;
      Failure failure =
          new Failure(Step.PLATFORM, "head", "not_committed", "the head row stays unchanged");
      return retryUntilDeadline(retryCommit(nowMs), failure, nowMs);
    }
    Optional<AcceptedRevision> accepted = current.flatMap(row -> row.find(nextRevisionNumber()));
    if (accepted.isPresent()) {
      return accepted.get().nonce().equals(nonce)
          ? finish(new ApplyOutcome.Accepted(nextRevisionNumber()))
          : finishWithConflict(current.get());
    }
    Failure failure =
        new Failure(
            Step.PLATFORM, "head", "history_lost", "the head row no longer names the revision");
    return finish(
        mayHaveCommitted
            ? new ApplyOutcome.Unknown(nextRevisionNumber(), failure)
            : new ApplyOutcome.Refused(failure));
  }

  private ApplyAction finishWithConflict(HeadRow current) {
    Optional<AcceptedRevision> base =
        baseRevision.isPresent()
            ? current.find(baseRevision.getAsLong())
            : baseRow.map(HeadRow::head);
    return finish(new ApplyOutcome.Conflict(current.head(), base));
  }

  private ApplyAction retryUntilDeadline(ApplyAction retry, Failure failure, long nowMs) {
    if (nowMs < deadlineMs) {
      return retry;
    }
    return finish(
        mayHaveCommitted
            ? new ApplyOutcome.Unknown(nextRevisionNumber(), failure)
            : new ApplyOutcome.Refused(failure));
  }

  private ApplyAction finish(ApplyOutcome outcome) {
    state = State.ENDED;
    return new ApplyAction.Finish(outcome);
  }
}
