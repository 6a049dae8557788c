package org.apricotstand.bench;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/** Results of an experiment. */
public record Results(
    @JsonProperty("scenario") String scenario,
    @JsonProperty("seed") long seed,
    @JsonProperty("duration_ms") long durationMs,
    @JsonProperty("requests") int requests,
    @JsonProperty("orders") int orders,
    @JsonProperty("least_loads") long leastLoads,
    @JsonProperty("hop") HopMeasurement.Hop hop,
    @JsonProperty("policies") Map<String, Figures> policies) {

  private static final int NAME_WIDTH = 24;
  private static final int VALUE_WIDTH = 18;

  /** Returns the results as JSON text. */
  public String toJson() {
    return Json.encodePretty(this);
  }

  /** Returns whether every count that has to be 0 is 0 under the product's own policy. */
  public boolean isSafe() {
    Figures own = policies.get(Experiment.POLICIES.getFirst());
    return own == null || own.violations() == 0;
  }

  /** Returns the results as a table. */
  public String toTable() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "scenario %s, seed %d, %d s, %d requests, %d orders"
            .formatted(scenario, seed, durationMs / 1_000, requests, orders));
    lines.add("clairvoyant cache over all slots: at least %d loads".formatted(leastLoads));
    lines.add(hop.toString());
    lines.add("");
    lines.add(line("", name -> name));
    rows()
        .forEach((title, value) -> lines.add(line(title, name -> value.apply(policies.get(name)))));
    return String.join("\n", lines);
  }

  private String line(String title, Function<String, String> valueOf) {
    StringBuilder line = new StringBuilder(padRight(title));
    policies.keySet().forEach(name -> line.append(padLeft(valueOf.apply(name))));
    return line.toString();
  }

  private Map<String, Function<Figures, String>> rows() {
    Map<String, Function<Figures, String>> rows = new LinkedHashMap<>();
    rows.put("load_stall_ms mean", one -> decimal(one.loadStallMs().mean(), 1));
    rows.put("load_stall_ms p50", one -> "" + one.loadStallMs().p50());
    rows.put("load_stall_ms p95", one -> "" + one.loadStallMs().p95());
    rows.put("load_stall_ms p99", one -> "" + one.loadStallMs().p99());
    rows.put("batch_fill_ratio", one -> decimal(one.batchFillRatio(), 4));
    rows.put("first_byte_ms p50", one -> "" + one.firstByteMs().p50());
    rows.put("first_byte_ms p95", one -> "" + one.firstByteMs().p95());
    rows.put("first_byte_ms p99", one -> "" + one.firstByteMs().p99());
    rows.put("answered", one -> "" + one.answered());
    rows.put("not_run", one -> "" + one.notRun());
    rows.put("outcome_unknown", one -> "" + one.outcomeUnknown());
    rows.put("wrong_version", one -> "" + one.wrongVersion());
    rows.put("evicted_in_use", one -> "" + one.evictedInUse());
    rows.put("duplicate_runs", one -> "" + one.duplicateRuns());
    rows.put("ran_after_not_run", one -> "" + one.ranAfterNotRun());
    rows.put("incomplete_answers", one -> "" + one.incompleteAnswers());
    rows.put("loads", one -> "" + one.loads());
    rows.put(
        "least_loads / loads", one -> decimal((double) leastLoads / Math.max(1, one.loads()), 3));
    rows.put("orders_answered", one -> "" + one.ordersAnswered());
    rows.put("orders_not_run", one -> "" + one.ordersNotRun());
    rows.put("orders_unknown", one -> "" + one.ordersUnknown());
    return rows;
  }

  private static String decimal(double value, int digits) {
    return String.format(Locale.ROOT, "%." + digits + "f", value);
  }

  private static String padRight(String text) {
    return text + " ".repeat(Math.max(0, NAME_WIDTH - text.length()));
  }

  private static String padLeft(String text) {
    return " ".repeat(Math.max(1, VALUE_WIDTH - text.length())) + text;
  }
}
