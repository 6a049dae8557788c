package org.apricotstand.request;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.limit.TargetLimits;
import org.apricotstand.observe.EventLog;

/**
 * Keeps to the limits that targets name in their answers, and tells the fleet of them. Belongs to
 * the traffic thread.
 */
final class TargetPacer {

  private static final EventLog LOG = EventLog.of(TargetPacer.class);

  private final LongSupplier clock;
  private final FleetNotifier fleetNotifier;
  private final TargetLimits limits;

  /**
   * Creates a pacer that knows of no limit.
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
   * Records what an answer says of the limit of its target. Only a success shows that a limit has
   * ended; a failure may come from a part of the target that does not know of it.
   *
   * @param sentMs time at which the request was sent
   */
  void onAnswer(TargetEntry target, AnswerHead head, long sentMs) {
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
    return limits.isEmpty()
        ? OptionalLong.of(0)
        : limits.delayMs(target.incarnation(), clock.getAsLong());
  }

  /** Reserves the next place for a request at a target, and returns its time. */
  long reserve(TargetEntry target) {
    return limits.reserve(target.incarnation(), clock.getAsLong());
  }

  /** Gives back a place that is not used. */
  void release(TargetEntry target, long sendAtMs) {
    limits.release(target.incarnation(), sendAtMs);
  }

  /** Forgets the limits of all targets but those with the given incarnations. */
  void retain(Set<String> incarnations) {
    limits.retain(incarnations);
  }
}
