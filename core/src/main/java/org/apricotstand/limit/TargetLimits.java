package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.apricotstand.placement.Rendezvous;

/**
 * Spaces the requests of one instance to targets that limit the requests of all instances together.
 *
 * <p>All instances know the same limits and each other, so that they share a limit without asking:
 * of a target, only as many instances may send as leaves each of them a request every two seconds,
 * and each of these spaces its requests evenly. However many instances there are, the target then
 * gets at most one and a half times its limit in any four seconds.
 *
 * <pre>{@code
 * OptionalLong delayMs = limits.delayMs(target, nowMs);
 * if (delayMs.isPresent()) {
 *   long sendAtMs = limits.reserve(target, nowMs);
 * }
 * }</pre>
 */
public final class TargetLimits {

  /** Time after the last answer that named a limit, after which the limit is forgotten. */
  static final long LIMIT_LIFETIME_MS = 20_000;

  /** Time after which instances are told again of a limit that still holds. */
  static final long REPORT_PERIOD_MS = 5_000;

  /** A lower limit counts as this one, since only an answer shows that a limit has ended. */
  private static final double MIN_PER_SECOND = 0.1;

  /** Least time between two requests of one instance for which further instances may send too. */
  private static final double MAX_SPACING_S = 2;

  private static final double MS_PER_S = 1_000;

  private final String self;
  private final Map<String, Limit> limits = new HashMap<>();
  private Set<String> instances;

  /**
   * A limit that holds now.
   *
   * @param spacingMs time between two requests of this instance; 0 if it may not send
   */
  private record Limit(
      double perSecond,
      long learntMs,
      long untilMs,
      long reportDueMs,
      long spacingMs,
      long nextMs) {

    Limit withNextMs(long newNextMs) {
      return new Limit(perSecond, learntMs, untilMs, reportDueMs, spacingMs, newNextMs);
    }

    Limit withSpacingMs(long newSpacingMs) {
      return new Limit(perSecond, learntMs, untilMs, reportDueMs, newSpacingMs, nextMs);
    }
  }

  /** Creates the limits of an instance that knows no other one yet. */
  public TargetLimits(String self) {
    this.self = self;
    this.instances = Set.of(self);
  }

  /** Sets the live instances, which share all limits; this one is among them. */
  public void setInstances(Set<String> liveInstances) {
    checkArgument(liveInstances.contains(self), "not among the live instances: %s", self);
    if (!instances.equals(liveInstances)) {
      instances = Set.copyOf(liveInstances);
      limits.replaceAll((target, limit) -> limit.withSpacingMs(spacingMs(target, limit.perSecond)));
    }
  }

  private long spacingMs(String target, double perSecond) {
    List<String> ranked = Rendezvous.rank(target, instances, name -> name);
    int senders = (int) Math.max(1, Math.min(ranked.size(), MAX_SPACING_S * perSecond));
    boolean maySend = ranked.indexOf(self) < senders;
    return maySend ? (long) Math.ceil(senders * MS_PER_S / perSecond) : 0;
  }

  /**
   * Records that a target has named a limit in an answer, to this instance or to another one.
   *
   * @param target incarnation of the target
   * @param perSecond requests a second from all instances
   * @return whether other instances need to be told of an answer to this instance
   */
  public boolean recordLimit(String target, double perSecond, long nowMs) {
    double usedPerSecond = Math.max(MIN_PER_SECOND, perSecond);
    Limit known = findValid(target, nowMs);
    boolean isNew = known == null || known.perSecond != usedPerSecond;
    boolean isReported = isNew || nowMs >= known.reportDueMs;
    long spacingMs = isNew ? spacingMs(target, usedPerSecond) : known.spacingMs;
    limits.put(
        target,
        new Limit(
            usedPerSecond,
            known == null ? nowMs : known.learntMs,
            nowMs + LIMIT_LIFETIME_MS,
            isReported ? nowMs + REPORT_PERIOD_MS : known.reportDueMs,
            spacingMs,
            known == null ? nowMs + spacingMs : known.nextMs));
    return isReported;
  }

  /**
   * Records an answer of a target without a limit. The answer to a request that was sent before the
   * limit became known says nothing.
   *
   * @return whether a limit has ended by it, so that other instances need to be told
   */
  public boolean recordNoLimit(String target, long sentMs, long nowMs) {
    Limit known = findValid(target, nowMs);
    return known != null && sentMs > known.learntMs && endLimit(target);
  }

  /** Ends the limit of a target; returns whether it had one. */
  public boolean endLimit(String target) {
    return limits.remove(target) != null;
  }

  /**
   * Returns the time until this instance may send the next request to a target, after those that
   * have reserved a place; empty if it may send none, since others use the limit.
   */
  public OptionalLong delayMs(String target, long nowMs) {
    Limit limit = findValid(target, nowMs);
    if (limit == null) {
      return OptionalLong.of(0);
    }
    return limit.spacingMs == 0
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, limit.nextMs - nowMs));
  }

  /** Reserves the next place at a target that may be sent to, and returns its time. */
  public long reserve(String target, long nowMs) {
    Limit limit = findValid(target, nowMs);
    if (limit == null) {
      return nowMs;
    }
    long sendAtMs = Math.max(nowMs, limit.nextMs);
    limits.put(target, limit.withNextMs(sendAtMs + limit.spacingMs));
    return sendAtMs;
  }

  /** Gives back a place that is not used, if no later one has been reserved. */
  public void release(String target, long sendAtMs) {
    Limit limit = limits.get(target);
    if (limit != null && limit.nextMs == sendAtMs + limit.spacingMs) {
      limits.put(target, limit.withNextMs(sendAtMs));
    }
  }

  /** Returns whether no target has a limit. */
  public boolean isEmpty() {
    return limits.isEmpty();
  }

  /**
   * Forgets limits whose time is over. The limit of a target whose entry is missing holds if the
   * target comes back.
   */
  public void removeEnded(long nowMs) {
    limits.values().removeIf(limit -> nowMs >= limit.untilMs);
  }

  private Limit findValid(String target, long nowMs) {
    Limit limit = limits.get(target);
    return limit == null || nowMs >= limit.untilMs ? null : limit;
  }
}
