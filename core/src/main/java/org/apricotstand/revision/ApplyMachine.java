package org.apricotstand.revision;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/**
 * Applies one set of declarations: reads the head row, stores the content, replaces the head row if
 * it is still the one that was read, and resolves a lost answer by reading the row back.
 *
 * <pre>{@code
 * ApplyMachine machine = new ApplyMachine(hash, nonce, OptionalLong.empty(), deadlineMs);
 * ApplyAction action = machine.start(nowMs);
 * }</pre>
 *
 * <p>Each event gives exactly one action. "Not accepted" is said only when no write that was sent
 * can still take effect.
 */
public final class ApplyMachine {

  private static final long RETRY_PAUSE_MS = 250;

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
  private Optional<HeadRow> base = Optional.empty();
  private ApplyAction.Commit commit;
  private boolean mayHaveCommitted;

  /**
   * Creates a machine.
   *
   * @param contentHash name of the content in the object store
   * @param nonce random text that is new for each attempt of an operator
   * @param baseRevision revision on which the change was based; the current one when absent
   * @param deadlineMs when retries end
   */
  public ApplyMachine(
      String contentHash, String nonce, OptionalLong baseRevision, long deadlineMs) {
    this.contentHash = contentHash;
    this.nonce = nonce;
    this.baseRevision = baseRevision;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the first action. */
  public ApplyAction start(long nowMs) {
    return new ApplyAction.ReadHead(nowMs);
  }

  /** Handles the result of the last action. */
  public ApplyAction handle(ApplyEvent event, long nowMs) {
    return switch (event) {
      case ApplyEvent.HeadRead(Optional<HeadRow> row) when state == State.READING ->
          begin(row, nowMs);
      case ApplyEvent.HeadRead(Optional<HeadRow> row) -> resolve(row, nowMs);
      case ApplyEvent.HeadUnreadable(Failure failure) ->
          retryOr(new ApplyAction.ReadHead(nowMs + RETRY_PAUSE_MS), failure, nowMs);
      case ApplyEvent.ContentStored() -> commit(nowMs);
      case ApplyEvent.ContentNotStored(Failure failure) ->
          retryOr(new ApplyAction.StoreContent(nowMs + RETRY_PAUSE_MS), failure, nowMs);
      case ApplyEvent.Committed() -> finish(new ApplyOutcome.Accepted(nextRevision()));
      case ApplyEvent.Conflicted(Optional<HeadRow> current) -> resolve(current, nowMs);
      case ApplyEvent.CommitUnknown(Failure failure) -> {
        mayHaveCommitted = true;
        state = State.RESOLVING;
        yield new ApplyAction.ReadHead(nowMs + RETRY_PAUSE_MS);
      }
      case ApplyEvent.CommitNotSent(Failure failure) ->
          retryOr(repeatCommit(nowMs), failure, nowMs);
    };
  }

  private ApplyAction begin(Optional<HeadRow> row, long nowMs) {
    base = row;
    long current = row.map(read -> read.head().revision()).orElse(0L);
    if (baseRevision.isPresent() && baseRevision.getAsLong() != current) {
      return row.isPresent()
          ? conflict(row.get())
          : finish(
              new ApplyOutcome.Refused(
                  new Failure(Step.PLATFORM, "head", "unknown_base", "there is no revision yet")));
    }
    if (row.isPresent() && row.get().head().contentHash().equals(contentHash)) {
      return finish(new ApplyOutcome.Unchanged(current));
    }
    state = State.STORING;
    return new ApplyAction.StoreContent(nowMs);
  }

  private ApplyAction commit(long nowMs) {
    state = State.COMMITTING;
    Head head = new Head(nextRevision(), contentHash, nonce);
    List<Head> history = base.map(HeadRow::historyOfNext).orElse(List.of());
    commit =
        new ApplyAction.Commit(
            base.map(HeadRow::rowVersion).orElse(0L), new HeadRow(head, history, 0), nowMs);
    return commit;
  }

  private ApplyAction repeatCommit(long nowMs) {
    return new ApplyAction.Commit(commit.expectedVersion(), commit.next(), nowMs + RETRY_PAUSE_MS);
  }

  private long nextRevision() {
    return base.map(row -> row.head().revision()).orElse(0L) + 1;
  }

  private ApplyAction resolve(Optional<HeadRow> current, long nowMs) {
    long version = current.map(HeadRow::rowVersion).orElse(0L);
    if (version == commit.expectedVersion()) {
      // The write is lost or still on its way; its repetition takes effect at most once.
      state = State.COMMITTING;
      Failure failure =
          new Failure(Step.PLATFORM, "head", "not_committed", "the head row stays unchanged");
      return retryOr(repeatCommit(nowMs), failure, nowMs);
    }
    Optional<Head> winner = current.flatMap(row -> row.find(nextRevision()));
    if (winner.isPresent()) {
      return winner.get().nonce().equals(nonce)
          ? finish(new ApplyOutcome.Accepted(nextRevision()))
          : conflict(current.get());
    }
    Failure failure =
        new Failure(
            Step.PLATFORM, "head", "history_lost", "the head row no longer names the revision");
    return finish(
        mayHaveCommitted
            ? new ApplyOutcome.Unknown(nextRevision(), failure)
            : new ApplyOutcome.Refused(failure));
  }

  private ApplyAction conflict(HeadRow current) {
    Optional<Head> from =
        baseRevision.isPresent() ? current.find(baseRevision.getAsLong()) : base.map(HeadRow::head);
    return finish(new ApplyOutcome.Conflict(current.head(), from));
  }

  private ApplyAction retryOr(ApplyAction retry, Failure failure, long nowMs) {
    if (nowMs < deadlineMs) {
      return retry;
    }
    return finish(
        mayHaveCommitted
            ? new ApplyOutcome.Unknown(nextRevision(), failure)
            : new ApplyOutcome.Refused(failure));
  }

  private ApplyAction finish(ApplyOutcome outcome) {
    state = State.ENDED;
    return new ApplyAction.Finish(outcome);
  }
}
