package org.apricotstand.standin.service;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that {@code POST /faults} sets: {@code slow_ms} (time of a run), and the numbers of next
 * requests to {@code crash_before} the run, to {@code crash_after} the run, or to lose the answer
 * of ({@code drop_answer}, without an end of the connection until it closes). Fields that are
 * absent keep their values.
 */
final class ServiceFaults {

  /** What happens to one request. */
  enum Ending {
    ANSWERED,
    CRASH_BEFORE,
    CRASH_AFTER,
    ANSWER_DROPPED
  }

  private long slowMs;
  private int crashBefore;
  private int crashAfter;
  private int dropAnswer;

  void apply(JsonNode change) {
    slowMs = change.path("slow_ms").asLong(slowMs);
    crashBefore = change.path("crash_before").asInt(crashBefore);
    crashAfter = change.path("crash_after").asInt(crashAfter);
    dropAnswer = change.path("drop_answer").asInt(dropAnswer);
  }

  long slowMs() {
    return slowMs;
  }

  Ending takeEnding() {
    if (crashBefore > 0) {
      crashBefore--;
      return Ending.CRASH_BEFORE;
    }
    if (crashAfter > 0) {
      crashAfter--;
      return Ending.CRASH_AFTER;
    }
    if (dropAnswer > 0) {
      dropAnswer--;
      return Ending.ANSWER_DROPPED;
    }
    return Ending.ANSWERED;
  }
}
