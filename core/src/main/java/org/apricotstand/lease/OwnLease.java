package org.apricotstand.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.lease.LeaseRow.LeaseState;
import org.apricotstand.model.InstanceId;

/**
 * The lease of this instance: its stored row, its deadline, and the send times of recent writes.
 *
 * <p>The send times are kept by nonce, so that a write whose answer was lost is recognized when the
 * row is read back, and the deadline counts from before that write was sent.
 */
final class OwnLease {

  /** The oldest writes are forgotten beyond this number. */
  private static final int MAX_TRACKED_WRITES = 32;

  private final InstanceId self;
  private final long incarnation;
  private final Map<Long, Long> sentMsByNonce =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_TRACKED_WRITES;
        }
      };

  /** Row as last read or written, or null when it must be read before the next write. */
  private Versioned<LeaseRow> storedRow;

  private LeaseRow rowInFlight;
  private long term;
  private long lastNonce;
  private long deadlineMs = LeaseTimes.NEVER;
  private boolean termConfirmed;
  private boolean suspended;
  private boolean renewalFailing;

  /** Whether a newer process of this instance has written the row. */
  private boolean replaced;

  private boolean released;
  private long nextCallMs = LeaseTimes.NEVER;

  OwnLease(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /** Returns whether the lease row should be read or written now. */
  boolean isDue(long nowMs) {
    return !replaced && !released && nowMs >= nextCallMs;
  }

  /** Returns whether the row must be read before the next write. */
  boolean needsRead() {
    return storedRow == null;
  }

  /**
   * Returns the row to write next: a renewal of the own term, or the first row of a new one.
   *
   * @param release whether the row ends the term
   */
  LeaseRow nextRow(long nowMs, boolean release) {
    if (!isOwnTerm(storedRow)) {
      long storedTerm = storedRow.isAbsent() ? incarnation - 1 : storedRow.row().term();
      term = Math.max(storedTerm, term) + 1;
      sentMsByNonce.clear();
      deadlineMs = LeaseTimes.NEVER;
      termConfirmed = false;
    }
    lastNonce++;
    sentMsByNonce.put(lastNonce, nowMs);
    LeaseState state = release ? LeaseState.RELEASED : LeaseState.HELD;
    rowInFlight = new LeaseRow(self, incarnation, term, lastNonce, state);
    return rowInFlight;
  }

  long storedVersion() {
    return storedRow.version();
  }

  /** Handles the success of the write in flight. */
  void onWritten(long version, long nowMs) {
    confirm(new Versioned<>(version, rowInFlight));
    nextCallMs = nowMs + LeaseTimes.RENEW_INTERVAL_MS;
  }

  /**
   * Handles a row that was read.
   *
   * @return whether the term that this instance held has ended
   */
  boolean onRead(Versioned<LeaseRow> row, long nowMs) {
    renewalFailing = false;
    nextCallMs = nowMs;
    if (isOwnTerm(row) && sentMsByNonce.containsKey(row.row().nonce())) {
      confirm(row);
      return false;
    }
    storedRow = row;
    replaced = !row.isAbsent() && row.row().incarnation() > incarnation;
    boolean ended = termConfirmed;
    termConfirmed = false;
    deadlineMs = LeaseTimes.NEVER;
    return ended;
  }

  private void confirm(Versioned<LeaseRow> confirmed) {
    storedRow = confirmed;
    renewalFailing = false;
    suspended = false;
    termConfirmed = true;
    released = confirmed.row().state() == LeaseState.RELEASED;
    long sentMs = sentMsByNonce.get(confirmed.row().nonce());
    deadlineMs = Math.max(deadlineMs, sentMs + LeaseTimes.LEASE_DURATION_MS);
  }

  private boolean isOwnTerm(Versioned<LeaseRow> row) {
    return !row.isAbsent()
        && row.row().incarnation() == incarnation
        && row.row().term() == term
        && row.row().state() != LeaseState.VOIDED;
  }

  /**
   * Handles a call without an answer. The row is read before the next write, which shows whether
   * the failed write took effect.
   */
  void onCallFailed(long nowMs, long retryDelayMs) {
    renewalFailing = true;
    storedRow = null;
    nextCallMs = nowMs + retryDelayMs;
  }

  /** Handles a write whose condition did not hold: the row is read again. */
  void onConflict(long nowMs) {
    storedRow = null;
    nextCallMs = nowMs;
  }

  /** Makes the next write due at once. */
  void makeWriteDue(long nowMs) {
    nextCallMs = nowMs;
  }

  /** Withdraws all rights until the row has been read or written again. */
  void suspend(long nowMs) {
    suspended = true;
    storedRow = null;
    nextCallMs = nowMs;
  }

  /** Returns whether the lease is valid at the given time, without promises of peers. */
  boolean isHeld(long nowMs) {
    return termConfirmed && !suspended && !released && nowMs < deadlineMs;
  }

  boolean isReleased() {
    return released;
  }

  boolean isSuspended() {
    return suspended;
  }

  /** Returns whether the store confirmed the own term and no later read showed that it ended. */
  boolean isTermConfirmed() {
    return termConfirmed;
  }

  /** Returns whether the last call for the own lease row got no answer from the platform. */
  boolean isRenewalFailing() {
    return renewalFailing;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  long term() {
    return term;
  }
}
