package org.apricotstand.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.InstanceId;

/** Promises given to frozen holders, and promises received while this instance is frozen. */
final class Promises {

  private final Map<InstanceId, Long> givenUntilMs = new HashMap<>();
  private final Map<InstanceId, Long> receivedUntilMs = new HashMap<>();
  private long round;
  private long askedMs = LeaseTimes.NEVER;

  void give(InstanceId to, long nowMs) {
    givenUntilMs.merge(to, nowMs + LeaseTimes.PROMISE_KEEP_MS, Math::max);
  }

  /** Returns whether a promise binds this instance not to take targets of the holder. */
  boolean binds(InstanceId holder, long nowMs) {
    return givenUntilMs.getOrDefault(holder, LeaseTimes.NEVER) >= nowMs;
  }

  /** Starts a new round of questions and returns its number. */
  long ask(long nowMs) {
    askedMs = nowMs;
    return ++round;
  }

  boolean isAskDue(long nowMs) {
    return askedMs == LeaseTimes.NEVER || nowMs - askedMs >= LeaseTimes.RENEW_MS;
  }

  /**
   * Notes an answer; one to an earlier round is ignored, as its time of asking is not kept. A
   * promise counts only when it follows the lease or an earlier promise of the same instance
   * without a gap: in a gap the giver may have taken a target and forgotten it by a restart.
   */
  void answered(InstanceId from, long answeredRound, boolean granted, long nowMs, long leaseMs) {
    long coveredUntilMs = Math.max(leaseMs, receivedUntilMs.getOrDefault(from, LeaseTimes.NEVER));
    if (answeredRound == round && granted && nowMs < coveredUntilMs) {
      receivedUntilMs.put(from, askedMs + LeaseTimes.PROMISE_USE_MS);
    }
  }

  /** Returns until when all the given instances have promised. */
  long unanimousUntilMs(Collection<InstanceId> others) {
    return others.stream()
        .mapToLong(other -> receivedUntilMs.getOrDefault(other, LeaseTimes.NEVER))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Forgets what others promised; what this instance promised stays. */
  void clearReceived() {
    receivedUntilMs.clear();
    askedMs = LeaseTimes.NEVER;
  }

  /** Ignores answers to questions asked before a pause. */
  void startNewRound() {
    round++;
    clearReceived();
  }
}
