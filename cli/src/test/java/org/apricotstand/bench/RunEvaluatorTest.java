package org.apricotstand.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.standin.engine.BatchStatistics;
import org.apricotstand.standin.engine.EngineEvent;
import org.apricotstand.standin.service.ServiceEvent;
import org.junit.jupiter.api.Test;

/** Guards against an evaluation that misses a violation or counts one that did not happen. */
final class RunEvaluatorTest {

  private static final Scenario SCENARIO = Scenario.builtIn("steppe-haze");
  private static final long ARRIVAL_MS = 1_000;
  private static final int ADAPTER = 0;

  private final List<EngineEvent> engineEvents = new ArrayList<>();
  private final List<ServiceEvent> serviceEvents = new ArrayList<>();
  private final List<Workload.ModelRequest> requests = new ArrayList<>();
  private final List<ReplyRecorder.RecordedReply> requestReplies = new ArrayList<>();
  private final List<Workload.Order> orders = new ArrayList<>();
  private final List<ReplyRecorder.RecordedReply> orderReplies = new ArrayList<>();

  @Test
  void completeAnswerIsNoViolation() {
    addEngineEvent(900, EngineEvent.Kind.LOADED, "", ADAPTER, 0);
    addEngineEvent(1_010, EngineEvent.Kind.STARTED, "r", ADAPTER, 0);
    addRequest("r", false, answeredReply(plainBody(ADAPTER, expectedTokens())));
    addRequest(
        "s", true, answeredReply(streamedBody(ADAPTER, expectedTokens()) + "data: [DONE]\n\n"));
    PolicyMetrics metrics = evaluate();
    assertThat(metrics.answered()).isEqualTo(2);
    assertThat(metrics.violations()).isEqualTo(0);
    assertThat(metrics.loads()).isEqualTo(1);
    assertThat(metrics.loadStallMs().p50()).isEqualTo(0);
  }

  @Test
  void stallLastsFromArrivalUntilAdapterIsResidentOnEngineThatRan() {
    addEngineEvent(1_250, EngineEvent.Kind.LOADED, "", ADAPTER, 0);
    addEngineEvent(1_300, EngineEvent.Kind.STARTED, "r", ADAPTER, 0);
    addRequest("r", false, answeredReply(plainBody(ADAPTER, expectedTokens())));
    assertThat(evaluate().loadStallMs().mean()).isWithin(1).of(250);
  }

  @Test
  void stallOfRefusedRequestLastsUntilRefusal() {
    addRequest("r", false, endedReply(503, "not_run", "", "{}", ARRIVAL_MS + 400));
    PolicyMetrics metrics = evaluate();
    assertThat(metrics.loadStallMs().mean()).isWithin(1).of(400);
    assertThat(metrics.notRun()).isEqualTo(1);
  }

  @Test
  void countsWrongVersionInHeaderTextAndEngine() {
    addRequest(
        "r",
        false,
        endedReply(200, "answered", Scenario.adapterVersion(1), plainBody(0, expectedTokens()), 0));
    addRequest("s", false, answeredReply(plainBody(1, expectedTokens())));
    addEngineEvent(1_010, EngineEvent.Kind.STARTED, "t", 1, 0);
    addRequest("t", false, answeredReply(plainBody(ADAPTER, expectedTokens())));
    assertThat(evaluate().wrongVersion()).isEqualTo(3);
  }

  @Test
  void countsIncompleteAnswersThatEndedNormally() {
    addRequest("short", false, answeredReply(plainBody(ADAPTER, expectedTokens() - 1)));
    addRequest("unmarked", true, answeredReply(streamedBody(ADAPTER, expectedTokens())));
    addRequest("cut", true, answeredReply(streamedBody(ADAPTER, 3) + "data: [DONE]\n\n"));
    assertThat(evaluate().incompleteAnswers()).isEqualTo(3);
  }

  @Test
  void interruptedAnswerCountsAsUnknownNotIncomplete() {
    ReplyRecorder.RecordedReply cutAnswer = answeredReply(streamedBody(ADAPTER, 3));
    addRequest(
        "r",
        true,
        new ReplyRecorder.RecordedReply(
            200,
            "answered",
            cutAnswer.adapterVersion(),
            ARRIVAL_MS,
            1_100,
            1_200,
            false,
            cutAnswer.body()));
    PolicyMetrics metrics = evaluate();
    assertThat(metrics.outcomeUnknown()).isEqualTo(1);
    assertThat(metrics.incompleteAnswers()).isEqualTo(0);
  }

  @Test
  void countsRunAfterNotRun() {
    addEngineEvent(1_010, EngineEvent.Kind.STARTED, "r", ADAPTER, 0);
    addRequest("r", false, endedReply(503, "not_run", "", "{}", 1_100));
    addOrder("o", endedReply(503, "not_run", "", "{}", 1_100));
    addServiceRun("o", 1);
    assertThat(evaluate().ranAfterNotRun()).isEqualTo(2);
  }

  @Test
  void countsEvictionInUseOnly() {
    addEngineEvent(1_010, EngineEvent.Kind.UNLOADED, "", ADAPTER, 2);
    addEngineEvent(1_020, EngineEvent.Kind.UNLOADED, "", ADAPTER, 0);
    assertThat(evaluate().evictedInUse()).isEqualTo(1);
  }

  @Test
  void countsEachDuplicateRunOfAnOrder() {
    addOrder("once", endedReply(200, "answered", "", "{}", 1_100));
    addOrder("twice", endedReply(200, "answered", "", "{}", 1_100));
    addOrder("twice", endedReply(503, "not_run", "", "{}", 1_100));
    addServiceRun("once", 1);
    addServiceRun("twice", 1);
    addServiceRun("twice", 2);
    PolicyMetrics metrics = evaluate();
    assertThat(metrics.duplicateRuns()).isEqualTo(1);
    assertThat(metrics.ranAfterNotRun()).isEqualTo(0);
  }

  @Test
  void batchFillRatioWeightsEnginesBySteps() {
    PolicyMetrics metrics =
        RunEvaluator.evaluate(
            SCENARIO,
            new RunObservations(
                new LoadGenerator.SentWorkload(
                    new Workload(List.of(), List.of()), List.of(), List.of()),
                List.of(),
                List.of(new BatchStatistics(10, 40, 8), new BatchStatistics(30, 30, 8)),
                List.of()));
    assertThat(metrics.batchFillRatio()).isWithin(1e-9).of(70.0 / 320);
  }

  private PolicyMetrics evaluate() {
    LoadGenerator.SentWorkload sentWorkload =
        new LoadGenerator.SentWorkload(
            new Workload(requests, orders), requestReplies, orderReplies);
    return RunEvaluator.evaluate(
        SCENARIO, new RunObservations(sentWorkload, engineEvents, List.of(), serviceEvents));
  }

  private void addEngineEvent(
      long atMs, EngineEvent.Kind kind, String user, int adapter, int inUse) {
    String version = Scenario.adapterVersion(adapter);
    engineEvents.add(new EngineEvent(atMs, kind, "engine-1", 1, "id", 1, user, version, inUse));
  }

  private void addServiceRun(String identity, int run) {
    serviceEvents.add(new ServiceEvent(1_050, identity, "/orders", run));
  }

  private void addRequest(String id, boolean streamed, ReplyRecorder.RecordedReply reply) {
    requests.add(new Workload.ModelRequest(id, 0, 0, ADAPTER, streamed));
    requestReplies.add(reply);
  }

  private void addOrder(String identity, ReplyRecorder.RecordedReply reply) {
    orders.add(new Workload.Order(identity, 0, 0));
    orderReplies.add(reply);
  }

  private static ReplyRecorder.RecordedReply answeredReply(String body) {
    return endedReply(200, "answered", Scenario.adapterVersion(ADAPTER), body, 1_500);
  }

  private static ReplyRecorder.RecordedReply endedReply(
      int status, String outcome, String version, String body, long endMs) {
    return new ReplyRecorder.RecordedReply(
        status, outcome, version, ARRIVAL_MS, 1_100, endMs, true, body);
  }

  private static int expectedTokens() {
    return SCENARIO.classOf(ADAPTER).tokens();
  }

  private static String tokenText(int adapter, int number) {
    return Scenario.adapterVersion(adapter) + " token " + number + ". ";
  }

  private static String plainBody(int adapter, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int number = 0; number < tokens; number++) {
      text.append(tokenText(adapter, number));
    }
    return "{\"choices\":[{\"text\":\"" + text + "\"}]}";
  }

  private static String streamedBody(int adapter, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int number = 0; number < tokens; number++) {
      text.append("data: {\"choices\":[{\"text\":\"" + tokenText(adapter, number) + "\"}]}\n\n");
    }
    return text.toString();
  }
}
