package org.apricotstand.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.apricotstand.standin.engine.BatchStatistics;
import org.apricotstand.standin.engine.EngineEvent;
import org.apricotstand.standin.service.ServiceEvent;

/**
 * Computes the metrics of a run from the events of the stand-ins and the replies to the callers.
 *
 * <p>The load stall of a request is the time from its arrival until its adapter is resident on the
 * engine that ran it. For a request that no engine started, the time until its refusal is counted.
 * This is a lower bound, so that a policy gains nothing by refusing requests.
 */
final class RunEvaluator {

  private static final int OK = 200;
  private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;

  private final Scenario scenario;
  private final RunObservations observations;
  private final Map<String, List<EngineEvent>> startsByUser = new HashMap<>();
  private final Map<String, List<EngineEvent>> loadsByAdapterOnEngine = new HashMap<>();

  private RunEvaluator(Scenario scenario, RunObservations observations) {
    this.scenario = scenario;
    this.observations = observations;
    for (EngineEvent event : observations.engineEvents()) {
      switch (event.kind()) {
        case STARTED ->
            startsByUser.computeIfAbsent(event.user(), k -> new ArrayList<>()).add(event);
        case LOADED ->
            loadsByAdapterOnEngine
                .computeIfAbsent(adapterOnEngine(event), k -> new ArrayList<>())
                .add(event);
        default -> {}
      }
    }
  }

  static PolicyMetrics evaluate(Scenario scenario, RunObservations observations) {
    return new RunEvaluator(scenario, observations).computeMetrics();
  }

  private PolicyMetrics computeMetrics() {
    Histogram stalls = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
    Histogram firstBytes = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
    long answered = 0;
    long notRun = 0;
    long unknown = 0;
    long wrongVersion = 0;
    long ranAfterNotRun = 0;
    long incomplete = 0;
    List<Workload.ModelRequest> requests = observations.sentWorkload().workload().requests();
    for (int i = 0; i < requests.size(); i++) {
      Workload.ModelRequest request = requests.get(i);
      ReplyRecorder.RecordedReply reply = observations.sentWorkload().requestReplies().get(i);
      List<EngineEvent> starts = startsByUser.getOrDefault(request.id(), List.of());
      stalls.recordValue(stallMs(reply, starts));
      if (reply.firstByteMs() > 0 && reply.status() == OK) {
        firstBytes.recordValue(Math.max(0, reply.firstByteMs() - reply.arrivalMs()));
      }
      if (isWrongVersion(request, reply, starts)) {
        wrongVersion++;
      }
      switch (outcomeOf(reply)) {
        case ANSWERED -> {
          answered++;
          incomplete += isComplete(request, reply) ? 0 : 1;
        }
        case NOT_RUN -> {
          notRun++;
          ranAfterNotRun += starts.isEmpty() ? 0 : 1;
        }
        default -> unknown++;
      }
    }
    OrderCounts orders = evaluateOrders();
    return new PolicyMetrics(
        summarize(stalls),
        batchFillRatio(observations.batchStatistics()),
        summarize(firstBytes),
        answered,
        notRun,
        unknown,
        wrongVersion,
        countEvents(EngineEvent.Kind.UNLOADED, true),
        orders.duplicateRuns(),
        ranAfterNotRun + orders.ranAfterNotRun(),
        incomplete,
        countEvents(EngineEvent.Kind.LOADED, false),
        orders.answered(),
        orders.notRun(),
        orders.unknown());
  }

  /** Outcome of a call as its caller knows it. */
  enum CallOutcome {
    ANSWERED,
    NOT_RUN,
    UNKNOWN
  }

  private static CallOutcome outcomeOf(ReplyRecorder.RecordedReply reply) {
    if (reply.endedNormally() && reply.status() == OK) {
      return CallOutcome.ANSWERED;
    }
    boolean statedNotRun = reply.endedNormally() && reply.outcome().equals("not_run");
    return statedNotRun ? CallOutcome.NOT_RUN : CallOutcome.UNKNOWN;
  }

  private long stallMs(ReplyRecorder.RecordedReply reply, List<EngineEvent> starts) {
    if (starts.isEmpty()) {
      return Math.max(0, reply.endMs() - reply.arrivalMs());
    }
    EngineEvent start = starts.getFirst();
    long residentMs =
        loadsByAdapterOnEngine.getOrDefault(adapterOnEngine(start), List.of()).stream()
            .mapToLong(EngineEvent::atMs)
            .filter(atMs -> atMs <= start.atMs())
            .max()
            .orElse(start.atMs());
    return Math.max(0, residentMs - reply.arrivalMs());
  }

  private static String adapterOnEngine(EngineEvent event) {
    return event.engine() + " " + event.incarnation() + " " + event.adapterVersion();
  }

  /** Returns whether the engine, the header or the text of an answer has another version. */
  private static boolean isWrongVersion(
      Workload.ModelRequest request, ReplyRecorder.RecordedReply reply, List<EngineEvent> starts) {
    String expectedVersion = Scenario.adapterVersion(request.adapter());
    boolean wrongInEngine =
        starts.stream().anyMatch(start -> !start.adapterVersion().equals(expectedVersion));
    boolean wrongInHeader = reply.status() == OK && !reply.adapterVersion().equals(expectedVersion);
    boolean wrongInText =
        reply.status() == OK
            && textOf(reply.body(), request.streamed())
                .lines()
                .anyMatch(token -> !token.startsWith(expectedVersion + " "));
    return wrongInEngine || wrongInHeader || wrongInText;
  }

  /** Returns whether an answer that ended normally has every token once and in order. */
  private boolean isComplete(Workload.ModelRequest request, ReplyRecorder.RecordedReply reply) {
    String expectedVersion = Scenario.adapterVersion(request.adapter());
    StringBuilder expected = new StringBuilder();
    int tokens = scenario.classOf(request.adapter()).tokens();
    for (int token = 0; token < tokens; token++) {
      expected.append(expectedVersion).append(" token ").append(token).append('\n');
    }
    boolean hasEndMarker = !request.streamed() || reply.body().endsWith("data: [DONE]\n\n");
    return hasEndMarker && textOf(reply.body(), request.streamed()).contentEquals(expected);
  }

  /** Returns the generated tokens, one per line. */
  private static String textOf(String body, boolean streamed) {
    StringBuilder text = new StringBuilder();
    if (streamed) {
      body.lines()
          .filter(line -> line.startsWith("data: {"))
          .forEach(line -> text.append(firstChoice(Json.parse(line.substring("data: ".length())))));
    } else {
      text.append(firstChoice(Json.parse(body)));
    }
    return text.toString().replace(". ", "\n");
  }

  private static String firstChoice(JsonNode answer) {
    return answer.path("choices").path(0).path("text").asText();
  }

  private record OrderCounts(
      long answered, long notRun, long unknown, long duplicateRuns, long ranAfterNotRun) {}

  private OrderCounts evaluateOrders() {
    Map<String, Integer> runs = new HashMap<>();
    observations.serviceEvents().stream()
        .map(ServiceEvent::identity)
        .forEach(identity -> runs.merge(identity, 1, Integer::sum));
    long answered = 0;
    long notRun = 0;
    long unknown = 0;
    Set<String> mayHaveRun = new HashSet<>();
    List<Workload.Order> orders = observations.sentWorkload().workload().orders();
    for (int i = 0; i < orders.size(); i++) {
      CallOutcome outcome = outcomeOf(observations.sentWorkload().orderReplies().get(i));
      answered += outcome == CallOutcome.ANSWERED ? 1 : 0;
      notRun += outcome == CallOutcome.NOT_RUN ? 1 : 0;
      unknown += outcome == CallOutcome.UNKNOWN ? 1 : 0;
      if (outcome != CallOutcome.NOT_RUN) {
        mayHaveRun.add(orders.get(i).identity());
      }
    }
    long duplicates = runs.values().stream().mapToLong(count -> count - 1).sum();
    long afterNotRun = runs.keySet().stream().filter(id -> !mayHaveRun.contains(id)).count();
    return new OrderCounts(answered, notRun, unknown, duplicates, afterNotRun);
  }

  private long countEvents(EngineEvent.Kind kind, boolean inUseOnly) {
    return observations.engineEvents().stream()
        .filter(event -> event.kind() == kind)
        .filter(event -> !inUseOnly || event.inUse() > 0)
        .count();
  }

  private static double batchFillRatio(List<BatchStatistics> batches) {
    double availableSequenceSteps =
        batches.stream().mapToDouble(engine -> (double) engine.steps() * engine.maxBatch()).sum();
    return availableSequenceSteps == 0
        ? 0
        : batches.stream().mapToLong(BatchStatistics::sequenceSteps).sum() / availableSequenceSteps;
  }

  private static PolicyMetrics.Summary summarize(Histogram histogram) {
    return new PolicyMetrics.Summary(
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(95),
        histogram.getValueAtPercentile(99),
        histogram.getTotalCount() == 0 ? 0 : histogram.getMean());
  }
}
