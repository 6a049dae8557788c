package org.apricotstand.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Estimates how slow each target is at present, relative to its service. Meant for loads in which
 * targets differ in speed or become slow for some seconds: all instances contribute their answers,
 * so that a few answers of each are enough. The estimate returns to the usual speed without news.
 */
public final class TargetSpeeds {

  /** Number of answers that change the estimate by half; fewer let it follow the noise. */
  private static final double HALF_WEIGHT_COUNT = 8;

  /** Number of answers over which the usual time of a service is averaged. */
  private static final long USUAL_COUNT = 500;

  /** Time without answers in which the deviation from the usual speed halves. */
  private static final double HALF_LIFE_MS = 1_500;

  /** Bound of a single measurement, in both directions. */
  private static final double MAX_SLOWNESS = 4;

  /** Avoids a division by zero for answers of less than a millisecond. */
  private static final double MIN_USUAL_MS = 0.1;

  /** Deviation from the usual speed that is within the noise of the estimate. */
  private static final double MIN_DEVIATION = 0.05;

  private final Map<String, Estimate> estimates = new HashMap<>();
  private final Map<String, AnswerTimes> usualByService = new HashMap<>();
  private Map<String, String> services = Map.of();

  private record Estimate(double slowness, long updatedMs) {
    double decayed(long nowMs) {
      return 1 + (slowness - 1) * Math.pow(0.5, (nowMs - updatedMs) / HALF_LIFE_MS);
    }
  }

  /**
   * Returns the time of an answer of a plain service as it would be without a queue.
   *
   * @param load other requests at the target when the request was sent
   */
  public static long plainTimeMs(long timeMs, TargetLoad load, int slots) {
    double excess = Math.max(0, load.total() + 1 - slots);
    return Math.round(timeMs / (1 + excess / slots));
  }

  /**
   * Returns the time to the first byte of an engine as it would be without other requests.
   *
   * @param load other requests at the target when the request was sent
   */
  public static long engineTimeMs(long timeMs, TargetLoad load, int maxConcurrentRequests) {
    double aheadMs = TargetChooser.loadCostMs(load, maxConcurrentRequests);
    return Math.round(timeMs / (1 + aheadMs / TargetChooser.WAITING_REQUEST_COST_MS));
  }

  /** Sets the listed targets; others are forgotten. */
  public void setTargets(Collection<TargetEntry> targets) {
    services =
        targets.stream()
            .collect(Collectors.toMap(TargetEntry::id, TargetEntry::service, (a, b) -> b));
    estimates.keySet().retainAll(services.keySet());
    usualByService.keySet().retainAll(services.values());
  }

  /** Records answers that targets gave lately, by target id. */
  public void record(Map<String, AnswerTimes> times, long nowMs) {
    times.forEach((id, answers) -> record(id, answers, nowMs));
  }

  private void record(String id, AnswerTimes answers, long nowMs) {
    String service = services.get(id);
    if (service == null || answers.count() <= 0 || answers.totalMs() < 0) {
      return;
    }
    AnswerTimes usual = usualByService.merge(service, answers, TargetSpeeds::average);
    double usualMs = Math.max(MIN_USUAL_MS, (double) usual.totalMs() / usual.count());
    double slowness = (double) answers.totalMs() / answers.count() / usualMs;
    double weight = answers.count() / (answers.count() + HALF_WEIGHT_COUNT);
    double before = slowness(id, nowMs);
    double bounded = Math.clamp(slowness, 1 / MAX_SLOWNESS, MAX_SLOWNESS);
    estimates.put(id, new Estimate(before + weight * (bounded - before), nowMs));
  }

  private static AnswerTimes average(AnswerTimes usual, AnswerTimes answers) {
    AnswerTimes sum = usual.plus(answers);
    if (sum.count() <= USUAL_COUNT) {
      return sum;
    }
    return new AnswerTimes(USUAL_COUNT, sum.totalMs() * USUAL_COUNT / sum.count());
  }

  /** Returns the time of a target relative to its service; 1 if nothing is known. */
  public double slowness(String id, long nowMs) {
    Estimate estimate = estimates.get(id);
    return estimate == null ? 1 : estimate.decayed(nowMs);
  }

  /** Returns the targets that are clearly slower or faster than usual, with their slowness. */
  public Map<String, Double> slowness(long nowMs) {
    Map<String, Double> known = new HashMap<>();
    estimates.forEach(
        (id, estimate) -> {
          double slowness = estimate.decayed(nowMs);
          if (Math.abs(slowness - 1) >= MIN_DEVIATION) {
            known.put(id, slowness);
          }
        });
    return known;
  }
}
