package org.apricotstand.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that {@code POST /faults} sets. Fields that are absent keep their values:
 *
 * <ul>
 *   <li>{@code crash}: whether the engine crashes at once; handled by {@link StandInEngine}
 *   <li>{@code crash_marker}: text that crashes the engine when a prompt contains it
 *   <li>{@code failing_loads}: number of next loads that fail
 *   <li>{@code failing_adapter}: adapter version whose loads fail; all when empty
 *   <li>{@code step_ms}: duration of one decoding step in milliseconds
 *   <li>{@code crossed_answers}: number of next pairs of requests whose answers are swapped
 * </ul>
 */
final class EngineFaults {

  private String crashMarker;
  private long stepMs;
  private int remainingFailingLoads;
  private String failingAdapter = "";
  private int remainingCrossedPairs;

  EngineFaults(EngineSettings settings) {
    this.crashMarker = settings.behavior().crashMarker();
    this.stepMs = settings.stepMs();
  }

  void apply(JsonNode changes) {
    crashMarker = changes.path("crash_marker").asText(crashMarker);
    stepMs = changes.path("step_ms").asLong(stepMs);
    remainingFailingLoads = changes.path("failing_loads").asInt(remainingFailingLoads);
    failingAdapter = changes.path("failing_adapter").asText(failingAdapter);
    remainingCrossedPairs = changes.path("crossed_answers").asInt(remainingCrossedPairs);
  }

  long stepMs() {
    return stepMs;
  }

  boolean crashesOn(String prompt) {
    return !crashMarker.isEmpty() && prompt.contains(crashMarker);
  }

  /** Returns whether this load fails, and decrements the number of loads to fail if it does. */
  boolean takeFailingLoad(String adapterVersion) {
    boolean applies = failingAdapter.isEmpty() || failingAdapter.equals(adapterVersion);
    if (remainingFailingLoads <= 0 || !applies) {
      return false;
    }
    remainingFailingLoads--;
    return true;
  }

  /** Returns whether to swap a pair of answers, and decrements the number of pairs if so. */
  boolean takeCrossedPair() {
    if (remainingCrossedPairs <= 0) {
      return false;
    }
    remainingCrossedPairs--;
    return true;
  }
}
