package org.apricotstand.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/**
 * Handles one attempt of a claimed request, that is, one arrival of the request at an instance. The
 * attempt claims the request by a conditional insert and dispatches it once, or asks the instance
 * that holds the claim for the outcome. There is one machine per attempt; it is confined to the
 * control thread.
 *
 * <p>Only the machine whose nonce is in the row may dispatch the request, and only after its own
 * insert was confirmed before the deadline. A row is deleted only by the machine that inserted it
 * and knows that no byte was sent to a target.
 *
 * <pre>{@code
 * ClaimMachine machine = new ClaimMachine(key, row, deadlineMs);
 * List<ClaimAction> actions = machine.handle(new ClaimEvent.RequestReceived(), nowMs);
 * }</pre>
 */
public final class ClaimMachine {

  /** First pause before a store operation is retried; the store answers in a few milliseconds. */
  static final long INITIAL_RETRY_PAUSE_MS = 200;

  /** Longest pause between retries; pauses grow so that a recovering store gets no burst. */
  static final long MAX_RETRY_PAUSE_MS = 5_000;

  /** Time after the deadline in which a confirmed release is still reported to the caller. */
  static final long RELEASE_GRACE_MS = 2_000;

  /** How long a write is retried that no caller waits for any more. */
  static final long BACKGROUND_RETRY_MS = 600_000;

  /** How long an ended machine answers duplicates that read the row before its last write. */
  static final long RETENTION_AFTER_END_MS = 10_000;

  /** Duplicates that may wait here; further ones are told that the outcome is unknown. */
  static final int MAX_WAITERS = 256;

  private enum State {
    NEW,
    INSERTING,
    RUNNING,
    STORING_OUTCOME,
    RELEASING,
    WAITING_FOR_HOLDER,
    READING_ROW,
    ENDED
  }

  private final String key;
  private final ClaimRow row;
  private final long deadlineMs;
  private final Map<String, Long> waiterDeadlinesMs = new LinkedHashMap<>();
  private State state = State.NEW;
  private boolean maybeInserted;
  private boolean insertAbandoned;
  private boolean operationOutstanding;
  private boolean callerAnswered;
  private boolean dispatched;
  private boolean discarded;
  private long rowVersion;

  /** Time of the next retry of a store operation, or 0 for none. */
  private long retryAtMs;

  private long retryPauseMs = INITIAL_RETRY_PAUSE_MS;

  /** Time after which store operations are not retried, or 0 before one is set. */
  private long retryUntilMs;

  private long discardAtMs;
  private ClaimRow finalRow;
  private String awaitedNonce = "";
  private Failure notRunFailure;
  private ClaimOutcome knownOutcome;

  /**
   * Creates a machine.
   *
   * @param row row that this attempt inserts, in state {@link ClaimRow.State#CLAIMED}
   * @param deadlineMs when the answer to the caller is due, monotonic
   */
  public ClaimMachine(String key, ClaimRow row, long deadlineMs) {
    this.key = key;
    this.row = row;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the unique identifier of this attempt. */
  public String nonce() {
    return row.nonce();
  }

  /** Returns whether this machine dispatched the request. */
  public boolean dispatched() {
    return dispatched;
  }

  /** Returns whether the caller got its outcome and no write of the row is pending. */
  public boolean isEnded() {
    return state == State.ENDED;
  }

  /** Returns whether the caller got its outcome. */
  public boolean callerAnswered() {
    return callerAnswered;
  }

  /**
   * Handles an event and returns the actions to perform, in order.
   *
   * @param nowMs monotonic time
   */
  public List<ClaimAction> handle(ClaimEvent event, long nowMs) {
    List<ClaimAction> actions = new ArrayList<>();
    switch (event) {
      case ClaimEvent.RequestReceived received -> start(actions);
      case ClaimEvent.WriteEnded(WriteResult result) -> onWriteEnded(result, nowMs, actions);
      case ClaimEvent.RowRead(Optional<StoredClaim> current) -> onRowRead(current, nowMs, actions);
      case ClaimEvent.ReadFailed failed -> {
        operationOutstanding = false;
        retryLater(nowMs, actions);
      }
      case ClaimEvent.CallNotSent(Failure failure) -> {
        if (state == State.RUNNING) {
          notRunFailure = failure;
          release(nowMs, actions);
        }
      }
      case ClaimEvent.CallAnswered(StoredAnswer answer) ->
          onCallEnded(new ClaimOutcome.Answered(answer), row.withAnswer(answer), nowMs, actions);
      case ClaimEvent.CallOutcomeUnknown(Failure failure) ->
          onCallEnded(new ClaimOutcome.Unknown(failure), row.withUnknownOutcome(), nowMs, actions);
      case ClaimEvent.HolderAnswered(ClaimOutcome outcome) ->
          onHolderAnswered(outcome, nowMs, actions);
      case ClaimEvent.HolderLost lost -> {
        if (state == State.WAITING_FOR_HOLDER) {
          read(State.READING_ROW, actions);
        }
      }
      case ClaimEvent.WaitRequested(String waitId, long waitDeadlineMs) ->
          addWaiter(waitId, waitDeadlineMs, actions);
      case ClaimEvent.WaitCanceled(String waitId) -> waiterDeadlinesMs.remove(waitId);
      case ClaimEvent.TimerFired fired -> onTimer(nowMs, actions);
    }
    return actions;
  }

  private void start(List<ClaimAction> actions) {
    if (state == State.NEW) {
      insert(actions);
      actions.add(new ClaimAction.SetTimer(deadlineMs));
    }
  }

  private void insert(List<ClaimAction> actions) {
    state = State.INSERTING;
    write(new ClaimWrite(row.nonce(), key, 0, Optional.of(row)), actions);
  }

  private void write(ClaimWrite write, List<ClaimAction> actions) {
    operationOutstanding = true;
    actions.add(new ClaimAction.Write(write));
  }

  private void read(State next, List<ClaimAction> actions) {
    state = next;
    operationOutstanding = true;
    actions.add(new ClaimAction.Read(key));
  }

  private void onWriteEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    operationOutstanding = false;
    switch (state) {
      case INSERTING -> onInsertEnded(result, nowMs, actions);
      case STORING_OUTCOME -> onStoreEnded(result, nowMs, actions);
      case RELEASING -> onDeleteEnded(result, nowMs, actions);
      default -> {}
    }
  }

  private void onInsertEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    switch (result) {
      case WriteResult.Written(long version) -> onInserted(version, nowMs, actions);
      case WriteResult.Conflict(Optional<StoredClaim> current) ->
          onCurrentRow(current, nowMs, actions);
      case WriteResult.OutcomeUnknown unknown -> {
        maybeInserted = true;
        retryLater(nowMs, actions);
      }
      case WriteResult.Unreachable unreachable -> {
        if (maybeInserted) {
          retryLater(nowMs, actions);
        } else {
          replyToCaller(
              new ClaimOutcome.NotRun(
                  failure(
                      ClaimCodes.STORE_UNREACHABLE,
                      "the request could not be claimed; this attempt did not run it")),
              actions);
          end(nowMs, actions);
        }
      }
    }
  }

  private void onInserted(long version, long nowMs, List<ClaimAction> actions) {
    rowVersion = version;
    retryPauseMs = INITIAL_RETRY_PAUSE_MS;
    if (!insertAbandoned && nowMs < deadlineMs) {
      state = State.RUNNING;
      dispatched = true;
      actions.add(new ClaimAction.Dispatch());
    } else {
      // The deadline passed while the insert was in progress: the request is never dispatched.
      notRunFailure = storeSilentFailure();
      release(nowMs, actions);
    }
  }

  private void onCurrentRow(Optional<StoredClaim> current, long nowMs, List<ClaimAction> actions) {
    if (current.isPresent() && isOwn(current.get())) {
      onInserted(current.get().version(), nowMs, actions);
    } else if (insertAbandoned) {
      end(nowMs, actions);
    } else if (current.isEmpty()) {
      // The row that caused the conflict has been deleted since.
      insert(actions);
    } else {
      followOtherAttempt(current.get().row(), nowMs, actions);
    }
  }

  private boolean isOwn(StoredClaim claim) {
    return claim.row().nonce().equals(row.nonce());
  }

  /** Ends with the outcome in the row of another attempt, or asks its holder for it. */
  private void followOtherAttempt(ClaimRow other, long nowMs, List<ClaimAction> actions) {
    if (!other.fingerprint().equals(row.fingerprint())) {
      String detail = "another request with the same idempotency key was received before";
      replyAndEnd(
          new ClaimOutcome.NotRun(failure(ClaimCodes.IDEMPOTENCY_KEY_REUSED, detail)),
          nowMs,
          actions);
      return;
    }
    if (other.state() == ClaimRow.State.ANSWERED) {
      replyAndEnd(new ClaimOutcome.Answered(other.answer()), nowMs, actions);
    } else if (other.state() == ClaimRow.State.UNKNOWN) {
      String detail = "the outcome of an earlier attempt of the request is unknown";
      replyAndEnd(
          unknownOutcome(ClaimCodes.EARLIER_OUTCOME_UNKNOWN, other, detail), nowMs, actions);
    } else {
      state = State.WAITING_FOR_HOLDER;
      awaitedNonce = other.nonce();
      actions.add(
          new ClaimAction.AskHolder(
              other.holder(), other.holderIncarnation(), other.nonce(), deadlineMs));
    }
  }

  private void onHolderAnswered(ClaimOutcome outcome, long nowMs, List<ClaimAction> actions) {
    if (state != State.WAITING_FOR_HOLDER) {
      return;
    }
    if (outcome instanceof ClaimOutcome.Unknown) {
      // The holder may have discarded an outcome that is stored in the row.
      knownOutcome = outcome;
      read(State.READING_ROW, actions);
    } else {
      replyAndEnd(outcome, nowMs, actions);
    }
  }

  private void onRowRead(Optional<StoredClaim> current, long nowMs, List<ClaimAction> actions) {
    operationOutstanding = false;
    if (state == State.INSERTING) {
      onCurrentRow(current, nowMs, actions);
    } else if (state == State.READING_ROW) {
      if (current.isEmpty()) {
        replyAndEnd(
            new ClaimOutcome.Unknown(
                failure(
                    ClaimCodes.HOLDER_LOST,
                    "the claim was removed while the request waited for its outcome")),
            nowMs,
            actions);
      } else if (current.get().row().state() == ClaimRow.State.CLAIMED
          && current.get().row().nonce().equals(awaitedNonce)) {
        String detail = "the instance that claimed the request does not know its outcome";
        replyAndEnd(
            knownOutcome != null
                ? knownOutcome
                : unknownOutcome(ClaimCodes.HOLDER_LOST, current.get().row(), detail),
            nowMs,
            actions);
      } else {
        followOtherAttempt(current.get().row(), nowMs, actions);
      }
    }
  }

  private void onCallEnded(
      ClaimOutcome outcome, ClaimRow endedRow, long nowMs, List<ClaimAction> actions) {
    if (state != State.RUNNING) {
      return;
    }
    state = State.STORING_OUTCOME;
    finalRow = endedRow;
    retryUntilMs = nowMs + BACKGROUND_RETRY_MS;
    knownOutcome = outcome;
    replyToCaller(outcome, actions);
    replyToWaiters(actions);
    storeOutcome(actions);
  }

  private void storeOutcome(List<ClaimAction> actions) {
    write(new ClaimWrite(row.nonce(), key, rowVersion, Optional.of(finalRow)), actions);
  }

  private void onStoreEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    switch (result) {
      case WriteResult.Written written -> end(nowMs, actions);
      case WriteResult.Conflict(Optional<StoredClaim> current) -> {
        if (current.isPresent()
            && isOwn(current.get())
            && current.get().row().state() == ClaimRow.State.CLAIMED) {
          rowVersion = current.get().version();
          storeOutcome(actions);
        } else {
          end(nowMs, actions);
        }
      }
      case WriteResult.OutcomeUnknown unknown -> retryLater(nowMs, actions);
      case WriteResult.Unreachable unreachable -> retryLater(nowMs, actions);
    }
  }

  private void release(long nowMs, List<ClaimAction> actions) {
    state = State.RELEASING;
    retryUntilMs = Math.max(nowMs, deadlineMs) + BACKGROUND_RETRY_MS;
    if (!callerAnswered) {
      actions.add(new ClaimAction.SetTimer(deadlineMs + RELEASE_GRACE_MS));
    }
    deleteRow(actions);
  }

  private void deleteRow(List<ClaimAction> actions) {
    write(new ClaimWrite(row.nonce(), key, rowVersion, Optional.empty()), actions);
  }

  private void onDeleteEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    switch (result) {
      case WriteResult.Written written -> onReleased(nowMs, actions);
      case WriteResult.Conflict(Optional<StoredClaim> current) -> {
        if (current.isPresent() && isOwn(current.get())) {
          rowVersion = current.get().version();
          deleteRow(actions);
        } else {
          onReleased(nowMs, actions);
        }
      }
      case WriteResult.OutcomeUnknown unknown -> retryLater(nowMs, actions);
      case WriteResult.Unreachable unreachable -> retryLater(nowMs, actions);
    }
  }

  private void onReleased(long nowMs, List<ClaimAction> actions) {
    replyToCaller(new ClaimOutcome.NotRun(notRunFailure), actions);
    end(nowMs, actions);
  }

  private void onTimer(long nowMs, List<ClaimAction> actions) {
    waiterDeadlinesMs.values().removeIf(waitDeadlineMs -> waitDeadlineMs <= nowMs);
    if (nowMs >= deadlineMs) {
      onDeadlinePassed(nowMs, actions);
    }
    if (retryAtMs > 0 && nowMs >= retryAtMs && !operationOutstanding) {
      retryAtMs = 0;
      retry(nowMs, actions);
    }
    if (state == State.ENDED && nowMs >= discardAtMs && !discarded) {
      discarded = true;
      actions.add(new ClaimAction.DiscardMachine());
    }
  }

  private void onDeadlinePassed(long nowMs, List<ClaimAction> actions) {
    switch (state) {
      case INSERTING -> {
        if (!insertAbandoned) {
          insertAbandoned = true;
          retryUntilMs = nowMs + BACKGROUND_RETRY_MS;
          replyToCaller(new ClaimOutcome.NotRun(storeSilentFailure()), actions);
        }
      }
      case WAITING_FOR_HOLDER, READING_ROW -> {
        String detail = "the instance that claimed the request did not report its outcome in time";
        replyAndEnd(
            new ClaimOutcome.Unknown(failure(ClaimCodes.WAIT_TIMED_OUT, detail)), nowMs, actions);
      }
      case RELEASING -> {
        if (!callerAnswered && nowMs >= deadlineMs + RELEASE_GRACE_MS) {
          String detail = "the request was not sent, but its claim could not be removed in time";
          replyToCaller(
              new ClaimOutcome.Unknown(failure(ClaimCodes.RELEASE_UNCONFIRMED, detail)), actions);
        }
      }
      default -> {}
    }
  }

  private void retry(long nowMs, List<ClaimAction> actions) {
    if (retryUntilMs > 0 && nowMs >= retryUntilMs) {
      end(nowMs, actions);
      return;
    }
    switch (state) {
      case INSERTING -> {
        if (insertAbandoned) {
          read(State.INSERTING, actions);
        } else {
          insert(actions);
        }
      }
      case STORING_OUTCOME -> storeOutcome(actions);
      case RELEASING -> deleteRow(actions);
      case READING_ROW -> read(State.READING_ROW, actions);
      default -> {}
    }
  }

  private void retryLater(long nowMs, List<ClaimAction> actions) {
    if (state == State.ENDED) {
      return;
    }
    retryAtMs = nowMs + retryPauseMs;
    retryPauseMs = Math.min(MAX_RETRY_PAUSE_MS, retryPauseMs * 2);
    actions.add(new ClaimAction.SetTimer(retryAtMs));
  }

  private void addWaiter(String waitId, long waitDeadlineMs, List<ClaimAction> actions) {
    if (state == State.STORING_OUTCOME || state == State.ENDED) {
      actions.add(new ClaimAction.ReplyToWaiter(waitId, outcomeForDuplicates()));
    } else if (waiterDeadlinesMs.size() >= MAX_WAITERS) {
      String detail = "too many duplicates of the request are already waiting";
      actions.add(
          new ClaimAction.ReplyToWaiter(
              waitId, new ClaimOutcome.Unknown(failure(ClaimCodes.TOO_MANY_DUPLICATES, detail))));
    } else {
      waiterDeadlinesMs.put(waitId, waitDeadlineMs);
    }
  }

  private ClaimOutcome outcomeForDuplicates() {
    if (knownOutcome != null) {
      return knownOutcome;
    }
    return dispatched && notRunFailure == null
        ? new ClaimOutcome.Unknown(
            failure(ClaimCodes.HOLDER_LOST, "the outcome of the request is unknown"))
        : new ClaimOutcome.NotRun(
            failure(
                ClaimCodes.RELEASED,
                "an earlier attempt of the request was abandoned before it was sent"));
  }

  /** Replies to the caller with the outcome of another attempt and ends this one. */
  private void replyAndEnd(ClaimOutcome outcome, long nowMs, List<ClaimAction> actions) {
    replyToCaller(outcome, actions);
    end(nowMs, actions);
  }

  private void replyToCaller(ClaimOutcome outcome, List<ClaimAction> actions) {
    if (!callerAnswered) {
      callerAnswered = true;
      actions.add(new ClaimAction.ReplyToCaller(outcome));
    }
  }

  private void end(long nowMs, List<ClaimAction> actions) {
    state = State.ENDED;
    retryAtMs = 0;
    discardAtMs = nowMs + RETENTION_AFTER_END_MS;
    replyToWaiters(actions);
    actions.add(new ClaimAction.SetTimer(discardAtMs));
  }

  private void replyToWaiters(List<ClaimAction> actions) {
    waiterDeadlinesMs
        .keySet()
        .forEach(
            waitId -> actions.add(new ClaimAction.ReplyToWaiter(waitId, outcomeForDuplicates())));
    waiterDeadlinesMs.clear();
  }

  private Failure storeSilentFailure() {
    return failure(
        ClaimCodes.STORE_SILENT,
        "the table service did not confirm the claim in time; this attempt did not run the request");
  }

  private static ClaimOutcome unknownOutcome(String code, ClaimRow other, String detail) {
    return new ClaimOutcome.Unknown(new Failure(Step.CLAIM, other.holder(), code, detail));
  }

  private Failure failure(String code, String detail) {
    return new Failure(Step.CLAIM, row.holder(), code, detail);
  }
}
