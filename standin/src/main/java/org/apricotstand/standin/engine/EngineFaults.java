package org.apricotstand.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that {@code POST /faults} sets: {@code crash}, {@code crash_marker}, {@code failing_loads}
 * (number of loads), {@code failing_adapter} (only loads of this adapter version), {@code step_ms}
 * and {@code crossed_answers} (number of pairs). Fields that are absent keep their values.
 */
final class EngineFaults {

  private String crashMarker;
  private long stepMs;
  private int failingLoads;
  private String failingAdapter = "";
  private int crossedPairs;

  EngineFaults(EngineSettings settings) {
    this.crashMarker = settings.behavior().crashMarker();
    this.stepMs = settings.stepMs();
  }

  void apply(JsonNode change) {
    crashMarker = change.path("crash_marker").asText(crashMarker);
    stepMs = change.path("step_ms").asLong(stepMs);
    failingLoads = change.path("failing_loads").asInt(failingLoads);
    failingAdapter = change.path("failing_adapter").asText(failingAdapter);
    crossedPairs = change.path("crossed_answers").asInt(crossedPairs);
  }

  long stepMs() {
    return stepMs;
  }

  boolean crashesOn(String prompt) {
    return !crashMarker.isEmpty() && prompt.contains(crashMarker);
  }

  /** Returns whether this load fails, and counts it. */
  boolean takeFailingLoad(String adapterVersion) {
    boolean concerned = failingAdapter.isEmpty() || failingAdapter.equals(adapterVersion);
    if (failingLoads <= 0 || !concerned) {
      return false;
    }
    failingLoads--;
    return true;
  }

  /** Returns whether a pair of answers is crossed, and counts it. */
  boolean takeCrossedPair() {
    if (crossedPairs <= 0) {
      return false;
    }
    crossedPairs--;
    return true;
  }
}
