package org.apricotstand.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.lease.LeaseRow.LeaseState;
import org.apricotstand.model.InstanceId;

/** The lease of this instance: its row, its deadline and the writes that may still take effect. */
final class OwnLease {

  private static final int KEPT_WRITES = 32;

  private final InstanceId self;
  private final long incarnation;
  private final Map<Long, Long> sentMsByNonce =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > KEPT_WRITES;
        }
      };
  private Versioned<LeaseRow> stored;
  private LeaseRow inFlight;
  private long term;
  private long lastNonce;
  private long deadlineMs = LeaseTimes.NEVER;
  private boolean established;
  private boolean suspended;
  private boolean failing;
  private boolean replaced;
  private boolean released;
  private long nextMs = LeaseTimes.NEVER;

  OwnLease(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  boolean isDue(long nowMs) {
    return !replaced && !released && nowMs >= nextMs;
  }

  boolean needsRead() {
    return stored == null;
  }

  /** Returns the row to write next: a renewal, or the first row of a new term. */
  LeaseRow nextRow(long nowMs, boolean release) {
    if (!isOwnTerm(stored)) {
      long storedTerm = stored.isAbsent() ? incarnation - 1 : stored.row().term();
      term = Math.max(storedTerm, term) + 1;
      sentMsByNonce.clear();
      deadlineMs = LeaseTimes.NEVER;
      established = false;
    }
    lastNonce++;
    sentMsByNonce.put(lastNonce, nowMs);
    LeaseState state = release ? LeaseState.RELEASED : LeaseState.HELD;
    inFlight = new LeaseRow(self, incarnation, term, lastNonce, state);
    return inFlight;
  }

  long storedVersion() {
    return stored.version();
  }

  /** The write in flight took effect. */
  void written(long version, long nowMs) {
    confirm(new Versioned<>(version, inFlight));
    nextMs = nowMs + LeaseTimes.RENEW_MS;
  }

  /**
   * Notes a row that was read.
   *
   * @return whether the term that this instance held has ended
   */
  boolean found(Versioned<LeaseRow> found, long nowMs) {
    failing = false;
    nextMs = nowMs;
    if (isOwnTerm(found) && sentMsByNonce.containsKey(found.row().nonce())) {
      confirm(found);
      return false;
    }
    stored = found;
    replaced = !found.isAbsent() && found.row().incarnation() > incarnation;
    boolean ended = established;
    established = false;
    deadlineMs = LeaseTimes.NEVER;
    return ended;
  }

  private void confirm(Versioned<LeaseRow> confirmed) {
    stored = confirmed;
    failing = false;
    suspended = false;
    established = true;
    released = confirmed.row().state() == LeaseState.RELEASED;
    long sentMs = sentMsByNonce.get(confirmed.row().nonce());
    deadlineMs = Math.max(deadlineMs, sentMs + LeaseTimes.HOLD_MS);
  }

  private boolean isOwnTerm(Versioned<LeaseRow> row) {
    return !row.isAbsent()
        && row.row().incarnation() == incarnation
        && row.row().term() == term
        && row.row().state() != LeaseState.VOIDED;
  }

  /** A call failed; the row is read before the next write, which resolves an unknown outcome. */
  void failed(long nowMs, long retryMs) {
    failing = true;
    stored = null;
    nextMs = nowMs + retryMs;
  }

  /** A condition did not hold; the row is read again. */
  void conflicted(long nowMs) {
    stored = null;
    nextMs = nowMs;
  }

  /** Makes the next write due at once. */
  void writeSoon(long nowMs) {
    nextMs = nowMs;
  }

  /** Takes back every right until the row has been read or written again. */
  void suspend(long nowMs) {
    suspended = true;
    stored = null;
    nextMs = nowMs;
  }

  boolean isHeld(long nowMs) {
    return established && !suspended && !released && nowMs < deadlineMs;
  }

  boolean isReleased() {
    return released;
  }

  boolean isSuspended() {
    return suspended;
  }

  boolean isEstablished() {
    return established;
  }

  /** Returns whether the platform does not answer for the lease. */
  boolean isFailing() {
    return failing;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  long term() {
    return term;
  }
}
