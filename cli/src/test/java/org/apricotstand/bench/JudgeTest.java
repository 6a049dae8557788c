package org.apricotstand.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.standin.engine.BatchStatistics;
import org.apricotstand.standin.engine.EngineEvent;
import org.apricotstand.standin.service.ServiceEvent;
import org.junit.jupiter.api.Test;

/** Guards against a judge that misses a violation or counts one that did not happen. */
final class JudgeTest {

  private static final Scenario SCENARIO = Scenario.builtIn("steppe-haze");
  private static final long ARRIVED_MS = 1_000;
  private static final int ADAPTER = 0;

  private final List<EngineEvent> engine = new ArrayList<>();
  private final List<ServiceEvent> service = new ArrayList<>();
  private final List<Workload.ModelRequest> requests = new ArrayList<>();
  private final List<CallerView.Seen> answers = new ArrayList<>();
  private final List<Workload.Order> orders = new ArrayList<>();
  private final List<CallerView.Seen> orderAnswers = new ArrayList<>();

  @Test
  void wholeAnswerIsNoViolation() {
    event(900, EngineEvent.Kind.LOADED, "", ADAPTER, 0);
    event(1_010, EngineEvent.Kind.STARTED, "r", ADAPTER, 0);
    request("r", false, answered(plain(ADAPTER, tokens())));
    request("s", true, answered(streamed(ADAPTER, tokens()) + "data: [DONE]\n\n"));
    Figures figures = judge();
    assertThat(figures.answered()).isEqualTo(2);
    assertThat(figures.violations()).isEqualTo(0);
    assertThat(figures.loads()).isEqualTo(1);
    assertThat(figures.loadStallMs().p50()).isEqualTo(0);
  }

  @Test
  void stallRunsFromArrivalToResidencyAtTheEngineThatRan() {
    event(1_250, EngineEvent.Kind.LOADED, "", ADAPTER, 0);
    event(1_300, EngineEvent.Kind.STARTED, "r", ADAPTER, 0);
    request("r", false, answered(plain(ADAPTER, tokens())));
    assertThat(judge().loadStallMs().mean()).isWithin(1).of(250);
  }

  @Test
  void refusedRequestStallsUntilItsRefusal() {
    request("r", false, ended(503, "not_run", "", "{}", ARRIVED_MS + 400));
    Figures figures = judge();
    assertThat(figures.loadStallMs().mean()).isWithin(1).of(400);
    assertThat(figures.notRun()).isEqualTo(1);
  }

  @Test
  void countsWrongVersionInHeaderTextAndEngine() {
    request("r", false, ended(200, "answered", Scenario.adapterVersion(1), plain(0, tokens()), 0));
    request("s", false, answered(plain(1, tokens())));
    event(1_010, EngineEvent.Kind.STARTED, "t", 1, 0);
    request("t", false, answered(plain(ADAPTER, tokens())));
    assertThat(judge().wrongVersion()).isEqualTo(3);
  }

  @Test
  void countsIncompleteAnswersThatLookWhole() {
    request("short", false, answered(plain(ADAPTER, tokens() - 1)));
    request("unmarked", true, answered(streamed(ADAPTER, tokens())));
    request("cut", true, answered(streamed(ADAPTER, 3) + "data: [DONE]\n\n"));
    assertThat(judge().incompleteAnswers()).isEqualTo(3);
  }

  @Test
  void brokenAnswerIsUnknownAndNotIncomplete() {
    CallerView.Seen whole = answered(streamed(ADAPTER, 3));
    request(
        "r",
        true,
        new CallerView.Seen(
            200,
            "answered",
            whole.adapterVersion(),
            ARRIVED_MS,
            1_100,
            1_200,
            false,
            whole.body()));
    Figures figures = judge();
    assertThat(figures.outcomeUnknown()).isEqualTo(1);
    assertThat(figures.incompleteAnswers()).isEqualTo(0);
  }

  @Test
  void countsRunAfterNotRun() {
    event(1_010, EngineEvent.Kind.STARTED, "r", ADAPTER, 0);
    request("r", false, ended(503, "not_run", "", "{}", 1_100));
    order("o", ended(503, "not_run", "", "{}", 1_100));
    run("o", 1);
    assertThat(judge().ranAfterNotRun()).isEqualTo(2);
  }

  @Test
  void countsEvictionInUseOnly() {
    event(1_010, EngineEvent.Kind.UNLOADED, "", ADAPTER, 2);
    event(1_020, EngineEvent.Kind.UNLOADED, "", ADAPTER, 0);
    assertThat(judge().evictedInUse()).isEqualTo(1);
  }

  @Test
  void countsEachRunOfAnOrderBeyondTheFirst() {
    order("once", ended(200, "answered", "", "{}", 1_100));
    order("twice", ended(200, "answered", "", "{}", 1_100));
    order("twice", ended(503, "not_run", "", "{}", 1_100));
    run("once", 1);
    run("twice", 1);
    run("twice", 2);
    Figures figures = judge();
    assertThat(figures.duplicateRuns()).isEqualTo(1);
    assertThat(figures.ranAfterNotRun()).isEqualTo(0);
  }

  @Test
  void batchFillWeighsEnginesByTheirSteps() {
    Figures figures =
        Judge.judge(
            SCENARIO,
            new Evidence(
                new Driver.Sent(new Workload(List.of(), List.of()), List.of(), List.of()),
                List.of(),
                List.of(new BatchStatistics(10, 40, 8), new BatchStatistics(30, 30, 8)),
                List.of()));
    assertThat(figures.batchFillRatio()).isWithin(1e-9).of(70.0 / 320);
  }

  private Figures judge() {
    Driver.Sent sent = new Driver.Sent(new Workload(requests, orders), answers, orderAnswers);
    return Judge.judge(SCENARIO, new Evidence(sent, engine, List.of(), service));
  }

  private void event(long atMs, EngineEvent.Kind kind, String user, int adapter, int inUse) {
    String version = Scenario.adapterVersion(adapter);
    engine.add(new EngineEvent(atMs, kind, "engine-1", 1, "id", 1, user, version, inUse));
  }

  private void run(String identity, int run) {
    service.add(new ServiceEvent(1_050, identity, "/orders", run));
  }

  private void request(String id, boolean streamed, CallerView.Seen seen) {
    requests.add(new Workload.ModelRequest(id, 0, 0, ADAPTER, streamed));
    answers.add(seen);
  }

  private void order(String identity, CallerView.Seen seen) {
    orders.add(new Workload.Order(identity, 0, 0));
    orderAnswers.add(seen);
  }

  private static CallerView.Seen answered(String body) {
    return ended(200, "answered", Scenario.adapterVersion(ADAPTER), body, 1_500);
  }

  private static CallerView.Seen ended(
      int status, String outcome, String version, String body, long endedMs) {
    return new CallerView.Seen(status, outcome, version, ARRIVED_MS, 1_100, endedMs, true, body);
  }

  private static int tokens() {
    return SCENARIO.classOf(ADAPTER).tokens();
  }

  private static String token(int adapter, int number) {
    return Scenario.adapterVersion(adapter) + " token " + number + ". ";
  }

  private static String plain(int adapter, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int number = 0; number < tokens; number++) {
      text.append(token(adapter, number));
    }
    return "{\"choices\":[{\"text\":\"" + text + "\"}]}";
  }

  private static String streamed(int adapter, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int number = 0; number < tokens; number++) {
      text.append("data: {\"choices\":[{\"text\":\"" + token(adapter, number) + "\"}]}\n\n");
    }
    return text.toString();
  }
}
