package org.apricotstand.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.InstanceId;

/**
 * Promises not to take over targets: those granted to peers that can't renew their lease, and those
 * received while this instance can't renew its own. A promise extends the lease of its receiver.
 */
final class TakeoverPromises {

  private final Map<InstanceId, Long> grantedUntilMs = new HashMap<>();
  private final Map<InstanceId, Long> receivedUntilMs = new HashMap<>();
  private long round;
  private long roundStartedMs = LeaseTimes.NEVER;

  /** Promises an instance not to take over its targets for a time. */
  void grant(InstanceId to, long nowMs) {
    grantedUntilMs.merge(to, nowMs + LeaseTimes.PROMISE_BINDING_MS, Math::max);
  }

  /** Returns whether this instance has promised not to take over targets of the holder. */
  boolean isBoundTo(InstanceId holder, long nowMs) {
    return grantedUntilMs.getOrDefault(holder, LeaseTimes.NEVER) >= nowMs;
  }

  /** Starts a new round of requests and returns its number. */
  long startRound(long nowMs) {
    roundStartedMs = nowMs;
    return ++round;
  }

  /** Returns whether the next round of requests should start. */
  boolean isRequestDue(long nowMs) {
    return roundStartedMs == LeaseTimes.NEVER
        || nowMs - roundStartedMs >= LeaseTimes.RENEW_INTERVAL_MS;
  }

  /**
   * Handles an answer. One to an earlier round is ignored, because the time of its request is not
   * kept. A promise counts only when it follows the lease or an earlier promise of the same
   * instance without a gap: in a gap the giver may have taken a target and then restarted, after
   * which it no longer knows of the takeover.
   *
   * @param leaseDeadlineMs deadline of the own lease
   */
  void onAnswer(
      InstanceId from, long answeredRound, boolean granted, long nowMs, long leaseDeadlineMs) {
    long coveredUntilMs =
        Math.max(leaseDeadlineMs, receivedUntilMs.getOrDefault(from, LeaseTimes.NEVER));
    if (answeredRound == round && granted && nowMs < coveredUntilMs) {
      receivedUntilMs.put(from, roundStartedMs + LeaseTimes.PROMISE_USABLE_MS);
    }
  }

  /** Returns the time until which every one of the given instances has promised. */
  long allPromisedUntilMs(Collection<InstanceId> others) {
    return others.stream()
        .mapToLong(other -> receivedUntilMs.getOrDefault(other, LeaseTimes.NEVER))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Drops the promises received from peers; those granted by this instance stay. */
  void clearReceived() {
    receivedUntilMs.clear();
    roundStartedMs = LeaseTimes.NEVER;
  }

  /** Drops the received promises and makes answers to requests sent before a pause be ignored. */
  void discardCurrentRound() {
    round++;
    clearReceived();
  }
}
