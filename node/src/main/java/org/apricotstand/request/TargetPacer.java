package org.apricotstand.request;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.limit.TargetLimits;
import org.apricotstand.limit.TargetPauses;
import org.apricotstand.observe.EventLog;

/**
 * Keeps to what targets ask for in their answers: a limit, a pause, or no further request because
 * they leave. Tells the fleet of limits. Belongs to the traffic thread.
 */
final class TargetPacer {

  private static final EventLog LOG = EventLog.of(TargetPacer.class);

  private final LongSupplier clock;
  private final FleetNotifier fleetNotifier;
  private final TargetLimits limits;
  private final TargetPauses pauses = new TargetPauses();

  /**
   * Creates a pacer to which no target has said anything.
   *
   * @param instance name of this instance
   * @param clock monotonic time in milliseconds
   */
  TargetPacer(String instance, LongSupplier clock, FleetNotifier fleetNotifier) {
    this.clock = clock;
    this.fleetNotifier = fleetNotifier;
    this.limits = new TargetLimits(instance);
  }

  /** Sets the live instances, which share the limits. */
  void setInstances(Set<String> instances) {
    limits.setInstances(instances);
  }

  /**
   * Records what an answer says of its target.
   *
   * @param sentMs time at which the request was sent
   */
  void onAnswer(TargetEntry target, AnswerHead head, long sentMs) {
    recordLimitOf(target, head, sentMs);
    String incarnation = target.incarnation();
    if (head.isFromLeavingTarget() && pauses.leave(incarnation, clock.getAsLong())) {
      LOG.info("target_leaving", "target", incarnation);
    }
    head.pauseMs().ifPresent(pauseMs -> recordPause(incarnation, pauseMs));
  }

  private void recordPause(String incarnation, long pauseMs) {
    long nowMs = clock.getAsLong();
    if (pauses.pause(incarnation, nowMs + pauseMs, nowMs)) {
      LOG.info("target_paused", "target", incarnation, "pause_ms", pauseMs);
    }
  }

  /**
   * Records what an answer says of the limit of its target. Only a success shows that a limit has
   * ended; a failure may come from a part of the target that does not know of it.
   */
  private void recordLimitOf(TargetEntry target, AnswerHead head, long sentMs) {
    String incarnation = target.incarnation();
    OptionalDouble limitPerSecond = head.limitPerSecond();
    if (limitPerSecond.isPresent()) {
      double perSecond = limitPerSecond.getAsDouble();
      if (limits.recordLimit(incarnation, perSecond, clock.getAsLong())) {
        LOG.info("limit_named", "target", incarnation, "per_second", perSecond);
        fleetNotifier.reportLimit(incarnation, perSecond);
      }
    } else if (head.isSignedSuccess()
        && limits.recordNoLimit(incarnation, sentMs, clock.getAsLong())) {
      LOG.info("limit_ended", "target", incarnation);
      fleetNotifier.reportLimitEnd(incarnation);
    }
  }

  /** Records a limit that a target has named to another instance. */
  void recordLimit(String incarnation, double perSecond) {
    if (limits.recordLimit(incarnation, perSecond, clock.getAsLong())) {
      LOG.info("limit_learnt", "target", incarnation, "per_second", perSecond);
    }
  }

  /** Records that a target has answered another instance without a limit. */
  void recordLimitEnd(String incarnation) {
    limits.endLimit(incarnation);
  }

  /** Returns the time until a request may be sent to a target; empty if none may be sent. */
  OptionalLong delayMs(TargetEntry target) {
    if (limits.isEmpty() && pauses.isEmpty()) {
      return OptionalLong.of(0);
    }
    long nowMs = clock.getAsLong();
    OptionalLong byLimitMs = limits.delayMs(target.incarnation(), nowMs);
    OptionalLong byPauseMs = pauses.delayMs(target.incarnation(), nowMs);
    return byLimitMs.isPresent() && byPauseMs.isPresent()
        ? OptionalLong.of(Math.max(byLimitMs.getAsLong(), byPauseMs.getAsLong()))
        : OptionalLong.empty();
  }

  /** Returns whether a target wants no request now, whatever places are reserved at it. */
  boolean isPaused(TargetEntry target) {
    return pauses.isPaused(target.incarnation(), clock.getAsLong());
  }

  /** Reserves the next place for a request at a target, and returns its time. */
  long reserve(TargetEntry target) {
    long nowMs = clock.getAsLong();
    long afterPauseMs = pauses.reserve(target.incarnation(), nowMs);
    return Math.max(afterPauseMs, limits.reserve(target.incarnation(), nowMs));
  }

  /** Gives back a place that is not used. */
  void release(TargetEntry target, long sendAtMs) {
    limits.release(target.incarnation(), sendAtMs);
  }

  /**
   * Forgets what no longer holds.
   *
   * @param incarnations targets that are listed
   */
  void retain(Set<String> incarnations) {
    limits.removeEnded(clock.getAsLong());
    pauses.retain(incarnations, clock.getAsLong());
  }
}
