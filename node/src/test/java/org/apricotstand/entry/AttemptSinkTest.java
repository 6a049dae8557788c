package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Step;
import org.junit.jupiter.api.Test;

class AttemptSinkTest {

  private static final Outcome CONNECTION_LOST =
      new Outcome.OutcomeUnknown(new Failure(Step.ANSWER, "engine-1", "connection_lost", "gone"));

  private final RecordingExchange exchange = new RecordingExchange();
  private final ExchangeSink callerSink = new ExchangeSink(exchange);
  private final List<Outcome> earlyFailures = new ArrayList<>();
  private int endCount;

  private AttemptSink newAttempt() {
    return new AttemptSink(callerSink, () -> endCount++, earlyFailures::add);
  }

  /**
   * Guards against mixing two answers: parts of a failed attempt arrive late, while the next
   * attempt already sends its answer.
   */
  @Test
  void dropsLateAnswerOfFailedAttempt() {
    AttemptSink first = newAttempt();
    first.fail(CONNECTION_LOST);
    AttemptSink second = newAttempt();
    second.writeHead(200, Map.of());
    first.writeHead(200, Map.of());
    first.writePart("late".getBytes());
    second.writePart("whole".getBytes());
    first.end();
    first.fail(CONNECTION_LOST);
    second.end();
    assertThat(exchange.body).isEqualTo("whole");
    assertThat(earlyFailures).containsExactly(CONNECTION_LOST);
    assertThat(endCount).isEqualTo(1);
  }

  /** Guards against another attempt after the caller got the start of an answer. */
  @Test
  void failureAfterTheHeadGoesToTheCaller() {
    AttemptSink attempt = newAttempt();
    attempt.writeHead(200, Map.of());
    attempt.fail(CONNECTION_LOST);
    assertThat(earlyFailures).isEmpty();
    assertThat(endCount).isEqualTo(1);
  }

  /** Guards against a refusal without a retry-after header, after which callers retry at once. */
  @Test
  void refusalHasRetryAfterHeader() {
    Failure failure = new Failure(Step.ADMISSION, "entry-1", "caller_limit", "too many");
    ErrorAnswer.refuse(exchange, 429, failure, 1_001);
    assertThat(exchange.status).isEqualTo(429);
    assertThat(exchange.headers).containsEntry("retry-after", "2");
    assertThat(exchange.headers).containsEntry(ErrorAnswer.OUTCOME_HEADER, "not_run");
  }
}
