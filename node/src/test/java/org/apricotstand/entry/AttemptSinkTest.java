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

  private static final Outcome LOST =
      new Outcome.OutcomeUnknown(new Failure(Step.ANSWER, "engine-1", "connection_lost", "gone"));

  private final RecordingExchange exchange = new RecordingExchange();
  private final ExchangeSink caller = new ExchangeSink(exchange);
  private final List<Outcome> failedEarly = new ArrayList<>();
  private int ended;

  private AttemptSink attempt() {
    return new AttemptSink(caller, () -> ended++, failedEarly::add);
  }

  /** Guards against a late answer of a lost attempt that mixes with that of the next one. */
  @Test
  void nothingOfAFailedAttemptPasses() {
    AttemptSink first = attempt();
    first.failed(LOST);
    AttemptSink second = attempt();
    second.head(200, Map.of());
    first.head(200, Map.of());
    first.part("late".getBytes());
    second.part("whole".getBytes());
    first.end();
    first.failed(LOST);
    second.end();
    assertThat(exchange.body).isEqualTo("whole");
    assertThat(failedEarly).containsExactly(LOST);
    assertThat(ended).isEqualTo(1);
  }

  /** Guards against a further attempt after the caller has seen a part of an answer. */
  @Test
  void failureAfterTheHeadGoesToTheCaller() {
    AttemptSink attempt = attempt();
    attempt.head(200, Map.of());
    attempt.failed(LOST);
    assertThat(failedEarly).isEmpty();
    assertThat(ended).isEqualTo(1);
  }

  /** Guards against refusals that old callers repeat at once. */
  @Test
  void refusalNamesTheTimeToWait() {
    Failure failure = new Failure(Step.ADMISSION, "entry-1", "caller_limit", "too many");
    ErrorAnswer.refuse(exchange, 429, failure, 1_001);
    assertThat(exchange.status).isEqualTo(429);
    assertThat(exchange.headers).containsEntry("retry-after", "2");
    assertThat(exchange.headers).containsEntry(ErrorAnswer.OUTCOME_HEADER, "not_run");
  }
}
