package org.apricotstand.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/**
 * Runs one sending of a claimed request: claims it by a conditional insert, dispatches it once, or
 * waits for the ending at the instance that claimed it before. One instance exists per sending; it
 * is confined to the control thread.
 *
 * <p>Only the machine whose nonce stands in the row may dispatch, and only after it has seen its
 * own insert take effect before the deadline. A row is deleted only by the machine that made it and
 * knows that no byte was sent.
 *
 * <pre>{@code
 * ClaimMachine machine = new ClaimMachine(key, row, deadlineMs);
 * List<ClaimAction> actions = machine.handle(new ClaimEvent.Begun(), nowMs);
 * }</pre>
 */
public final class ClaimMachine {

  /** Pause before a store operation is repeated; the store answers within a few milliseconds. */
  static final long RETRY_MS = 200;

  /** Longest pause between repeats, so that a returning store is not met by a burst. */
  static final long MAX_RETRY_MS = 5_000;

  /** Time after the deadline within which a release may still be confirmed to the caller. */
  static final long RELEASE_GRACE_MS = 2_000;

  /** How long a write that nobody waits for any more is repeated. */
  static final long SETTLE_MS = 600_000;

  /** How long an ended machine answers repeats that read the row before its last write. */
  static final long LINGER_MS = 10_000;

  /** Repeats that may wait here; further ones are told that the outcome is unknown. */
  static final int MAX_WAITERS = 256;

  private enum State {
    NEW,
    INSERTING,
    RUNNING,
    STORING,
    RELEASING,
    WAITING,
    READING,
    ENDED
  }

  private final String key;
  private final ClaimRow row;
  private final long deadlineMs;
  private final Map<String, Long> waiters = new LinkedHashMap<>();
  private State state = State.NEW;
  private boolean maybeInserted;
  private boolean abandoned;
  private boolean operationOutstanding;
  private boolean reported;
  private boolean dispatched;
  private boolean retired;
  private long version;
  private long retryAtMs;
  private long retryPauseMs = RETRY_MS;
  private long settleUntilMs;
  private long retireAtMs;
  private ClaimRow finalRow;
  private String askedNonce = "";
  private Failure notRunFailure;
  private ClaimEnding holderEnding;

  /**
   * Creates a machine.
   *
   * @param row content of the row that this attempt would insert, in state claimed
   * @param deadlineMs when the caller's answer is due, monotonic
   */
  public ClaimMachine(String key, ClaimRow row, long deadlineMs) {
    this.key = key;
    this.row = row;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the unique text of this attempt. */
  public String nonce() {
    return row.nonce();
  }

  /** Returns whether this machine dispatched the request. */
  public boolean dispatched() {
    return dispatched;
  }

  /** Returns whether neither a caller nor the row waits for anything more. */
  public boolean isSettled() {
    return state == State.ENDED;
  }

  /** Returns whether the caller was told the ending. */
  public boolean reported() {
    return reported;
  }

  /**
   * Applies an event and returns what has to be done for it, in order.
   *
   * @param nowMs monotonic time
   */
  public List<ClaimAction> handle(ClaimEvent event, long nowMs) {
    List<ClaimAction> actions = new ArrayList<>();
    switch (event) {
      case ClaimEvent.Begun begun -> begin(actions);
      case ClaimEvent.WriteEnded(WriteResult result) -> writeEnded(result, nowMs, actions);
      case ClaimEvent.RowRead(Optional<StoredClaim> current) -> rowRead(current, nowMs, actions);
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
          callEnded(new ClaimEnding.Answered(answer), row.answered(answer), nowMs, actions);
      case ClaimEvent.CallLost(Failure failure) ->
          callEnded(new ClaimEnding.Unknown(failure), row.unknown(), nowMs, actions);
      case ClaimEvent.HolderAnswered(ClaimEnding ending) -> holderAnswered(ending, nowMs, actions);
      case ClaimEvent.HolderLost lost -> {
        if (state == State.WAITING) {
          read(State.READING, actions);
        }
      }
      case ClaimEvent.Waited(String waitId, long waitDeadlineMs) ->
          wait(waitId, waitDeadlineMs, actions);
      case ClaimEvent.WaitCanceled(String waitId) -> waiters.remove(waitId);
      case ClaimEvent.Woken woken -> wake(nowMs, actions);
    }
    return actions;
  }

  private void begin(List<ClaimAction> actions) {
    if (state == State.NEW) {
      insert(actions);
      actions.add(new ClaimAction.WakeAt(deadlineMs));
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

  private void writeEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    operationOutstanding = false;
    switch (state) {
      case INSERTING -> insertEnded(result, nowMs, actions);
      case STORING -> storeEnded(result, nowMs, actions);
      case RELEASING -> deleteEnded(result, nowMs, actions);
      default -> {}
    }
  }

  private void insertEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    switch (result) {
      case WriteResult.Written(long written) -> inserted(written, nowMs, actions);
      case WriteResult.Conflict(Optional<StoredClaim> current) -> exists(current, nowMs, actions);
      case WriteResult.Lost lost -> {
        maybeInserted = true;
        retryLater(nowMs, actions);
      }
      case WriteResult.Unreachable unreachable -> {
        if (maybeInserted) {
          retryLater(nowMs, actions);
        } else {
          finish(
              new ClaimEnding.NotRun(
                  failure(
                      ClaimCodes.STORE_UNREACHABLE,
                      "the request could not be claimed; this sending started nothing")),
              actions);
          end(nowMs, actions);
        }
      }
    }
  }

  private void inserted(long written, long nowMs, List<ClaimAction> actions) {
    version = written;
    retryPauseMs = RETRY_MS;
    if (!abandoned && nowMs < deadlineMs) {
      state = State.RUNNING;
      dispatched = true;
      actions.add(new ClaimAction.Dispatch());
    } else {
      // The deadline passed while the insert was under way: the request is never dispatched.
      notRunFailure = silentStore();
      release(nowMs, actions);
    }
  }

  private void exists(Optional<StoredClaim> current, long nowMs, List<ClaimAction> actions) {
    if (current.isPresent() && isOwn(current.get())) {
      inserted(current.get().version(), nowMs, actions);
    } else if (abandoned) {
      end(nowMs, actions);
    } else if (current.isEmpty()) {
      // The holder released the row between the insert and the answer.
      insert(actions);
    } else {
      follow(current.get().row(), nowMs, actions);
    }
  }

  private boolean isOwn(StoredClaim claim) {
    return claim.row().nonce().equals(row.nonce());
  }

  /** Ends as the row of another attempt says, or waits at its holder. */
  private void follow(ClaimRow other, long nowMs, List<ClaimAction> actions) {
    if (!other.fingerprint().equals(row.fingerprint())) {
      String detail = "another request with the same identity was received before";
      conclude(new ClaimEnding.NotRun(failure(ClaimCodes.IDENTITY_REUSED, detail)), nowMs, actions);
      return;
    }
    if (other.state() == ClaimRow.State.ANSWERED) {
      conclude(new ClaimEnding.Answered(other.answer()), nowMs, actions);
    } else if (other.state() == ClaimRow.State.UNKNOWN) {
      String detail = "its outcome could not be learnt";
      conclude(unknown(ClaimCodes.FORMER_UNKNOWN, other, detail), nowMs, actions);
    } else {
      state = State.WAITING;
      askedNonce = other.nonce();
      actions.add(
          new ClaimAction.AskHolder(
              other.holder(), other.holderIncarnation(), other.nonce(), deadlineMs));
    }
  }

  private void holderAnswered(ClaimEnding ending, long nowMs, List<ClaimAction> actions) {
    if (state != State.WAITING) {
      return;
    }
    if (ending instanceof ClaimEnding.Unknown) {
      // The holder may have forgotten an answer that the row keeps.
      holderEnding = ending;
      read(State.READING, actions);
    } else {
      conclude(ending, nowMs, actions);
    }
  }

  private void rowRead(Optional<StoredClaim> current, long nowMs, List<ClaimAction> actions) {
    operationOutstanding = false;
    if (state == State.INSERTING) {
      exists(current, nowMs, actions);
    } else if (state == State.READING) {
      if (current.isEmpty()) {
        conclude(
            new ClaimEnding.Unknown(
                failure(ClaimCodes.HOLDER_LOST, "the claim was removed while it was waited for")),
            nowMs,
            actions);
      } else if (current.get().row().state() == ClaimRow.State.CLAIMED
          && current.get().row().nonce().equals(askedNonce)) {
        String detail = "the instance that claimed the request cannot tell its outcome";
        conclude(
            holderEnding != null
                ? holderEnding
                : unknown(ClaimCodes.HOLDER_LOST, current.get().row(), detail),
            nowMs,
            actions);
      } else {
        follow(current.get().row(), nowMs, actions);
      }
    }
  }

  private void callEnded(ClaimEnding ending, ClaimRow last, long nowMs, List<ClaimAction> actions) {
    if (state != State.RUNNING) {
      return;
    }
    state = State.STORING;
    finalRow = last;
    settleUntilMs = nowMs + SETTLE_MS;
    holderEnding = ending;
    finish(ending, actions);
    replyAll(actions);
    store(actions);
  }

  private void store(List<ClaimAction> actions) {
    write(new ClaimWrite(row.nonce(), key, version, Optional.of(finalRow)), actions);
  }

  private void storeEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    switch (result) {
      case WriteResult.Written written -> end(nowMs, actions);
      case WriteResult.Conflict(Optional<StoredClaim> current) -> {
        if (current.isPresent()
            && isOwn(current.get())
            && current.get().row().state() == ClaimRow.State.CLAIMED) {
          version = current.get().version();
          store(actions);
        } else {
          end(nowMs, actions);
        }
      }
      case WriteResult.Lost lost -> retryLater(nowMs, actions);
      case WriteResult.Unreachable unreachable -> retryLater(nowMs, actions);
    }
  }

  private void release(long nowMs, List<ClaimAction> actions) {
    state = State.RELEASING;
    settleUntilMs = Math.max(nowMs, deadlineMs) + SETTLE_MS;
    if (!reported) {
      actions.add(new ClaimAction.WakeAt(deadlineMs + RELEASE_GRACE_MS));
    }
    delete(actions);
  }

  private void delete(List<ClaimAction> actions) {
    write(new ClaimWrite(row.nonce(), key, version, Optional.empty()), actions);
  }

  private void deleteEnded(WriteResult result, long nowMs, List<ClaimAction> actions) {
    switch (result) {
      case WriteResult.Written written -> released(nowMs, actions);
      case WriteResult.Conflict(Optional<StoredClaim> current) -> {
        if (current.isPresent() && isOwn(current.get())) {
          version = current.get().version();
          delete(actions);
        } else {
          released(nowMs, actions);
        }
      }
      case WriteResult.Lost lost -> retryLater(nowMs, actions);
      case WriteResult.Unreachable unreachable -> retryLater(nowMs, actions);
    }
  }

  private void released(long nowMs, List<ClaimAction> actions) {
    finish(new ClaimEnding.NotRun(notRunFailure), actions);
    end(nowMs, actions);
  }

  private void wake(long nowMs, List<ClaimAction> actions) {
    waiters.values().removeIf(waitDeadlineMs -> waitDeadlineMs <= nowMs);
    if (nowMs >= deadlineMs) {
      deadlinePassed(nowMs, actions);
    }
    if (retryAtMs > 0 && nowMs >= retryAtMs && !operationOutstanding) {
      retryAtMs = 0;
      retry(nowMs, actions);
    }
    if (state == State.ENDED && nowMs >= retireAtMs && !retired) {
      retired = true;
      actions.add(new ClaimAction.Retire());
    }
  }

  private void deadlinePassed(long nowMs, List<ClaimAction> actions) {
    switch (state) {
      case INSERTING -> {
        if (!abandoned) {
          abandoned = true;
          settleUntilMs = nowMs + SETTLE_MS;
          finish(new ClaimEnding.NotRun(silentStore()), actions);
        }
      }
      case WAITING, READING -> {
        String detail = "the instance that claimed the request gave no answer in time";
        conclude(
            new ClaimEnding.Unknown(failure(ClaimCodes.WAIT_TIMED_OUT, detail)), nowMs, actions);
      }
      case RELEASING -> {
        if (!reported && nowMs >= deadlineMs + RELEASE_GRACE_MS) {
          String detail = "the request was not sent, but its claim could not be removed in time";
          finish(new ClaimEnding.Unknown(failure(ClaimCodes.RELEASE_UNCONFIRMED, detail)), actions);
        }
      }
      default -> {}
    }
  }

  private void retry(long nowMs, List<ClaimAction> actions) {
    if (settleUntilMs > 0 && nowMs >= settleUntilMs) {
      end(nowMs, actions);
      return;
    }
    switch (state) {
      case INSERTING -> {
        if (abandoned) {
          read(State.INSERTING, actions);
        } else {
          insert(actions);
        }
      }
      case STORING -> store(actions);
      case RELEASING -> delete(actions);
      case READING -> read(State.READING, actions);
      default -> {}
    }
  }

  private void retryLater(long nowMs, List<ClaimAction> actions) {
    if (state == State.ENDED) {
      return;
    }
    retryAtMs = nowMs + retryPauseMs;
    retryPauseMs = Math.min(MAX_RETRY_MS, retryPauseMs * 2);
    actions.add(new ClaimAction.WakeAt(retryAtMs));
  }

  private void wait(String waitId, long waitDeadlineMs, List<ClaimAction> actions) {
    if (state == State.STORING || state == State.ENDED) {
      actions.add(new ClaimAction.Reply(waitId, endingForRepeats()));
    } else if (waiters.size() >= MAX_WAITERS) {
      String detail = "too many repeats of the request wait already";
      actions.add(
          new ClaimAction.Reply(
              waitId, new ClaimEnding.Unknown(failure(ClaimCodes.TOO_MANY_REPEATS, detail))));
    } else {
      waiters.put(waitId, waitDeadlineMs);
    }
  }

  private ClaimEnding endingForRepeats() {
    if (holderEnding != null) {
      return holderEnding;
    }
    return dispatched && notRunFailure == null
        ? new ClaimEnding.Unknown(failure(ClaimCodes.HOLDER_LOST, "the outcome is not known"))
        : new ClaimEnding.NotRun(
            failure(
                ClaimCodes.RELEASED,
                "the first sending of this request was given up before it was sent"));
  }

  /** Ends a sending that another attempt answers for. */
  private void conclude(ClaimEnding ending, long nowMs, List<ClaimAction> actions) {
    finish(ending, actions);
    end(nowMs, actions);
  }

  private void finish(ClaimEnding ending, List<ClaimAction> actions) {
    if (!reported) {
      reported = true;
      actions.add(new ClaimAction.Finish(ending));
    }
  }

  private void end(long nowMs, List<ClaimAction> actions) {
    state = State.ENDED;
    retryAtMs = 0;
    retireAtMs = nowMs + LINGER_MS;
    replyAll(actions);
    actions.add(new ClaimAction.WakeAt(retireAtMs));
  }

  private void replyAll(List<ClaimAction> actions) {
    waiters
        .keySet()
        .forEach(waitId -> actions.add(new ClaimAction.Reply(waitId, endingForRepeats())));
    waiters.clear();
  }

  private Failure silentStore() {
    return failure(
        ClaimCodes.STORE_SILENT,
        "the table service did not confirm the claim in time; this sending started nothing");
  }

  private static ClaimEnding unknown(String code, ClaimRow other, String detail) {
    return new ClaimEnding.Unknown(new Failure(Step.CLAIM, other.holder(), code, detail));
  }

  private Failure failure(String code, String detail) {
    return new Failure(Step.CLAIM, row.holder(), code, detail);
  }
}
