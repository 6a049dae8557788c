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
 * Computes the figures of a run from the stand-ins' event lists and from what the callers saw.
 *
 * <p>A request that no engine started has no moment of residency. Its stall counts as the time to
 * its refusal, which is a lower bound, so that a policy gains nothing by refusing.
 */
final class Judge {

  private static final int OK = 200;
  private static final int HISTOGRAM_DIGITS = 3;

  private final Scenario scenario;
  private final Evidence evidence;
  private final Map<String, List<EngineEvent>> startsByUser = new HashMap<>();
  private final Map<String, List<EngineEvent>> loadsByPlace = new HashMap<>();

  private Judge(Scenario scenario, Evidence evidence) {
    this.scenario = scenario;
    this.evidence = evidence;
    for (EngineEvent event : evidence.engineEvents()) {
      switch (event.kind()) {
        case STARTED ->
            startsByUser.computeIfAbsent(event.user(), k -> new ArrayList<>()).add(event);
        case LOADED ->
            loadsByPlace.computeIfAbsent(place(event), k -> new ArrayList<>()).add(event);
        default -> {}
      }
    }
  }

  static Figures judge(Scenario scenario, Evidence evidence) {
    return new Judge(scenario, evidence).figures();
  }

  private Figures figures() {
    Histogram stalls = new Histogram(HISTOGRAM_DIGITS);
    Histogram firstBytes = new Histogram(HISTOGRAM_DIGITS);
    long answered = 0;
    long notRun = 0;
    long unknown = 0;
    long wrongVersion = 0;
    long ranAfterNotRun = 0;
    long incomplete = 0;
    List<Workload.ModelRequest> requests = evidence.sent().workload().requests();
    for (int i = 0; i < requests.size(); i++) {
      Workload.ModelRequest request = requests.get(i);
      CallerView.Seen seen = evidence.sent().requests().get(i);
      List<EngineEvent> starts = startsByUser.getOrDefault(request.id(), List.of());
      stalls.recordValue(stallMs(seen, starts));
      if (seen.firstByteMs() > 0 && seen.status() == OK) {
        firstBytes.recordValue(Math.max(0, seen.firstByteMs() - seen.arrivedMs()));
      }
      if (isWrongVersion(request, seen, starts)) {
        wrongVersion++;
      }
      switch (endingOf(seen)) {
        case ANSWERED -> {
          answered++;
          incomplete += isComplete(request, seen) ? 0 : 1;
        }
        case NOT_RUN -> {
          notRun++;
          ranAfterNotRun += starts.isEmpty() ? 0 : 1;
        }
        default -> unknown++;
      }
    }
    Orders orders = judgeOrders();
    return new Figures(
        summary(stalls),
        batchFill(evidence.batches()),
        summary(firstBytes),
        answered,
        notRun,
        unknown,
        wrongVersion,
        count(EngineEvent.Kind.UNLOADED, true),
        orders.duplicateRuns(),
        ranAfterNotRun + orders.ranAfterNotRun(),
        incomplete,
        count(EngineEvent.Kind.LOADED, false),
        orders.answered(),
        orders.notRun(),
        orders.unknown());
  }

  /** How a call ended for its caller. */
  enum Ending {
    ANSWERED,
    NOT_RUN,
    UNKNOWN
  }

  private static Ending endingOf(CallerView.Seen seen) {
    if (seen.ended() && seen.status() == OK) {
      return Ending.ANSWERED;
    }
    boolean saidNotRun = seen.ended() && seen.outcome().equals("not_run");
    return saidNotRun ? Ending.NOT_RUN : Ending.UNKNOWN;
  }

  private long stallMs(CallerView.Seen seen, List<EngineEvent> starts) {
    if (starts.isEmpty()) {
      return Math.max(0, seen.endedMs() - seen.arrivedMs());
    }
    EngineEvent start = starts.getFirst();
    long residentMs =
        loadsByPlace.getOrDefault(place(start), List.of()).stream()
            .mapToLong(EngineEvent::atMs)
            .filter(atMs -> atMs <= start.atMs())
            .max()
            .orElse(start.atMs());
    return Math.max(0, residentMs - seen.arrivedMs());
  }

  private static String place(EngineEvent event) {
    return event.engine() + " " + event.incarnation() + " " + event.adapterVersion();
  }

  private static boolean isWrongVersion(
      Workload.ModelRequest request, CallerView.Seen seen, List<EngineEvent> starts) {
    String wanted = Scenario.adapterVersion(request.adapter());
    boolean started = starts.stream().anyMatch(start -> !start.adapterVersion().equals(wanted));
    boolean named = seen.status() == OK && !seen.adapterVersion().equals(wanted);
    boolean generated =
        seen.status() == OK
            && textOf(seen.body(), request.streamed())
                .lines()
                .anyMatch(token -> !token.startsWith(wanted + " "));
    return started || named || generated;
  }

  /** Returns whether an answer that ended has every token once and in order. */
  private boolean isComplete(Workload.ModelRequest request, CallerView.Seen seen) {
    String wanted = Scenario.adapterVersion(request.adapter());
    StringBuilder expected = new StringBuilder();
    int tokens = scenario.classOf(request.adapter()).tokens();
    for (int token = 0; token < tokens; token++) {
      expected.append(wanted).append(" token ").append(token).append('\n');
    }
    boolean marked = !request.streamed() || seen.body().endsWith("data: [DONE]\n\n");
    return marked && textOf(seen.body(), request.streamed()).contentEquals(expected);
  }

  /** Returns the generated tokens, one a line. */
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

  private record Orders(
      long answered, long notRun, long unknown, long duplicateRuns, long ranAfterNotRun) {}

  private Orders judgeOrders() {
    Map<String, Integer> runs = new HashMap<>();
    evidence.serviceEvents().stream()
        .map(ServiceEvent::identity)
        .forEach(identity -> runs.merge(identity, 1, Integer::sum));
    long answered = 0;
    long notRun = 0;
    long unknown = 0;
    Set<String> mayHaveRun = new HashSet<>();
    List<Workload.Order> orders = evidence.sent().workload().orders();
    for (int i = 0; i < orders.size(); i++) {
      Ending ending = endingOf(evidence.sent().orders().get(i));
      answered += ending == Ending.ANSWERED ? 1 : 0;
      notRun += ending == Ending.NOT_RUN ? 1 : 0;
      unknown += ending == Ending.UNKNOWN ? 1 : 0;
      if (ending != Ending.NOT_RUN) {
        mayHaveRun.add(orders.get(i).identity());
      }
    }
    long duplicates = runs.values().stream().mapToLong(count -> count - 1).sum();
    long afterNotRun = runs.keySet().stream().filter(id -> !mayHaveRun.contains(id)).count();
    return new Orders(answered, notRun, unknown, duplicates, afterNotRun);
  }

  private long count(EngineEvent.Kind kind, boolean inUseOnly) {
    return evidence.engineEvents().stream()
        .filter(event -> event.kind() == kind)
        .filter(event -> !inUseOnly || event.inUse() > 0)
        .count();
  }

  private static double batchFill(List<BatchStatistics> batches) {
    double places =
        batches.stream().mapToDouble(one -> (double) one.steps() * one.maxBatch()).sum();
    return places == 0
        ? 0
        : batches.stream().mapToLong(BatchStatistics::sequenceSteps).sum() / places;
  }

  private static Figures.Summary summary(Histogram histogram) {
    return new Figures.Summary(
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(95),
        histogram.getValueAtPercentile(99),
        histogram.getTotalCount() == 0 ? 0 : histogram.getMean());
  }
}
