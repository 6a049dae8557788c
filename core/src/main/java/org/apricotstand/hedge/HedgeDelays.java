package org.apricotstand.hedge;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Determines after which time without a first byte an attempt is slower than it should be. Answers
 * the load in which one target is slow or silent for a while and the others are not: its attempts
 * exceed what the other targets' answers suggest.
 *
 * <p>The delay is a quantile of the times to the first byte on the route, each relative to the
 * usual time of its target, so that a target that is always slower than others is not hedged more
 * often than they are.
 *
 * <pre>{@code
 * delays.recordFirstByte(route, target, timeMs);
 * OptionalLong delayMs = delays.delayMs(route, target);
 * }</pre>
 */
public final class HedgeDelays {

  /** Answers on a route before which nothing is known about its slowest ones. */
  static final int MIN_SAMPLES = 50;

  /** Bounds of the quantile: below, usual answers are hedged; above, one answer sets the delay. */
  private static final double MIN_QUANTILE = 0.9;

  private static final double MAX_QUANTILE = 0.99;

  /**
   * Maximum usual time of a target relative to that of the route. Targets run at 0.6 to 1.6 of the
   * usual speed, so one that is slower than this is in a slow period. A bound of 2 delays hedges of
   * such a period so much that they hardly help.
   */
  private static final double MAX_RELATIVE_USUAL = 1.7;

  private final double quantile;
  private final Map<String, RouteTimes> routes = new HashMap<>();

  /**
   * Creates delays without samples.
   *
   * @param maxShare hedges allowed per request; the quantile leaves about that share above it, so
   *     that the allowance goes to the slowest requests
   */
  public HedgeDelays(double maxShare) {
    checkArgument(maxShare >= 0 && maxShare <= 1, "share out of range: %s", maxShare);
    quantile = Math.clamp(1 - maxShare, MIN_QUANTILE, MAX_QUANTILE);
  }

  /** Records the time from the sending of an attempt to the first byte of its answer. */
  public void recordFirstByte(String route, String target, long timeMs) {
    checkArgument(timeMs >= 0, "time is negative: %s", timeMs);
    routes.computeIfAbsent(route, name -> new RouteTimes()).add(target, timeMs);
  }

  /**
   * Records an attempt that was cancelled without a first byte after its delay had passed. Its time
   * is at least that long. It lies above the quantile either way, so that the delay stays right;
   * without it, the delay would fall with each hedge that wins.
   */
  public void recordOverdue(String route, String target, long elapsedMs) {
    recordFirstByte(route, target, elapsedMs);
  }

  /** Returns the time after which an attempt may be hedged; empty without enough samples. */
  public OptionalLong delayMs(String route, String target) {
    RouteTimes times = routes.get(route);
    if (times == null || !times.ratios.hasSamples(MIN_SAMPLES)) {
      return OptionalLong.empty();
    }
    double delayMs = times.ratios.quantile(quantile) * times.usualMs(target);
    return OptionalLong.of((long) Math.ceil(delayMs));
  }

  /** Removes what is known of routes and targets that no longer exist. */
  public void retain(Collection<String> liveRoutes, Collection<String> liveTargets) {
    routes.keySet().retainAll(liveRoutes);
    routes.values().forEach(times -> times.targets.keySet().retainAll(liveTargets));
  }

  /** Times of the answers on one route. */
  private static final class RouteTimes {
    private final SampleWindow ratios = new SampleWindow();
    private final UsualTime all = new UsualTime();
    private final Map<String, UsualTime> targets = new HashMap<>();

    private void add(String target, long timeMs) {
      if (all.isKnown()) {
        ratios.add(timeMs / usualMs(target));
      }
      all.add(timeMs);
      targets.computeIfAbsent(target, id -> new UsualTime()).add(timeMs);
    }

    private double usualMs(String target) {
      UsualTime own = targets.get(target);
      if (own == null || !own.isKnown()) {
        return all.ms();
      }
      return Math.min(own.ms(), MAX_RELATIVE_USUAL * all.ms());
    }
  }
}
