package org.apricotstand.standin.service;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that {@code POST /faults} sets. Fields that are absent keep their values:
 *
 * <ul>
 *   <li>{@code slow_ms}: duration of a run in milliseconds
 *   <li>{@code crash_before}: number of next requests whose connection is closed before they run
 *   <li>{@code crash_after}: number of next requests whose connection is closed after they ran
 *   <li>{@code drop_answer}: number of next requests that run but get no answer; their connection
 *       stays open
 * </ul>
 */
final class ServiceFaults {

  /** Outcome of one request. */
  enum RunOutcome {
    ANSWERED,
    CRASH_BEFORE_RUN,
    CRASH_AFTER_RUN,
    ANSWER_DROPPED
  }

  private long delayMs;
  private int remainingCrashesBeforeRun;
  private int remainingCrashesAfterRun;
  private int remainingDroppedAnswers;

  void apply(JsonNode changes) {
    delayMs = changes.path("slow_ms").asLong(delayMs);
    remainingCrashesBeforeRun = changes.path("crash_before").asInt(remainingCrashesBeforeRun);
    remainingCrashesAfterRun = changes.path("crash_after").asInt(remainingCrashesAfterRun);
    remainingDroppedAnswers = changes.path("drop_answer").asInt(remainingDroppedAnswers);
  }

  long delayMs() {
    return delayMs;
  }

  /** Returns the outcome of the next request and decrements the count of its fault. */
  RunOutcome takeOutcome() {
    if (remainingCrashesBeforeRun > 0) {
      remainingCrashesBeforeRun--;
      return RunOutcome.CRASH_BEFORE_RUN;
    }
    if (remainingCrashesAfterRun > 0) {
      remainingCrashesAfterRun--;
      return RunOutcome.CRASH_AFTER_RUN;
    }
    if (remainingDroppedAnswers > 0) {
      remainingDroppedAnswers--;
      return RunOutcome.ANSWER_DROPPED;
    }
    return RunOutcome.ANSWERED;
  }
}
