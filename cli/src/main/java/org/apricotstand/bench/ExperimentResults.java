package org.apricotstand.bench;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * Results of an experiment.
 *
 * @param scenario name of the scenario
 * @param seed seed of the arrivals
 * @param durationMs time in milliseconds in which requests arrived
 * @param requests number of model requests
 * @param orders number of calls to the plain service, duplicates included
 * @param leastLoads lower bound of the number of adapter loads, see {@link ClairvoyantCache}
 * @param hop latency added by the hop to another instance
 * @param policies metrics by name of the policy
 */
public record ExperimentResults(
    @JsonProperty("scenario") String scenario,
    @JsonProperty("seed") long seed,
    @JsonProperty("duration_ms") long durationMs,
    @JsonProperty("requests") int requests,
    @JsonProperty("orders") int orders,
    @JsonProperty("least_loads") long leastLoads,
    @JsonProperty("hop") HopMeasurement.Hop hop,
    @JsonProperty("policies") Map<String, PolicyMetrics> policies) {

  private static final int NAME_WIDTH = 24;
  private static final int VALUE_WIDTH = 18;

  /** Returns the results as JSON text. */
  public String toJson() {
    return Json.encodePretty(this);
  }

  /** Returns whether every count that must be 0 is 0 under the default policy, if it was run. */
  public boolean isSafe() {
    PolicyMetrics defaultPolicy = policies.get(Experiment.POLICIES.getFirst());
    return defaultPolicy == null || defaultPolicy.violations() == 0;
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
    lines.add(tableLine("", name -> name));
    valuesByRowTitle()
        .forEach(
            (title, value) -> lines.add(tableLine(title, name -> value.apply(policies.get(name)))));
    return String.join("\n", lines);
  }

  private String tableLine(String title, Function<String, String> valueOf) {
    StringBuilder line = new StringBuilder(padRight(title));
    policies.keySet().forEach(name -> line.append(padLeft(valueOf.apply(name))));
    return line.toString();
  }

  private Map<String, Function<PolicyMetrics, String>> valuesByRowTitle() {
    Map<String, Function<PolicyMetrics, String>> rows = new LinkedHashMap<>();
    rows.put("load_stall_ms mean", metrics -> decimal(metrics.loadStallMs().mean(), 1));
    rows.put("load_stall_ms p50", metrics -> "" + metrics.loadStallMs().p50());
    rows.put("load_stall_ms p95", metrics -> "" + metrics.loadStallMs().p95());
    rows.put("load_stall_ms p99", metrics -> "" + metrics.loadStallMs().p99());
    rows.put("batch_fill_ratio", metrics -> decimal(metrics.batchFillRatio(), 4));
    rows.put("first_byte_ms p50", metrics -> "" + metrics.firstByteMs().p50());
    rows.put("first_byte_ms p95", metrics -> "" + metrics.firstByteMs().p95());
    rows.put("first_byte_ms p99", metrics -> "" + metrics.firstByteMs().p99());
    rows.put("answered", metrics -> "" + metrics.answered());
    rows.put("not_run", metrics -> "" + metrics.notRun());
    rows.put("outcome_unknown", metrics -> "" + metrics.outcomeUnknown());
    rows.put("wrong_version", metrics -> "" + metrics.wrongVersion());
    rows.put("evicted_in_use", metrics -> "" + metrics.evictedInUse());
    rows.put("duplicate_runs", metrics -> "" + metrics.duplicateRuns());
    rows.put("ran_after_not_run", metrics -> "" + metrics.ranAfterNotRun());
    rows.put("incomplete_answers", metrics -> "" + metrics.incompleteAnswers());
    rows.put("loads", metrics -> "" + metrics.loads());
    rows.put(
        "least_loads / loads",
        metrics -> decimal((double) leastLoads / Math.max(1, metrics.loads()), 3));
    rows.put("orders_answered", metrics -> "" + metrics.ordersAnswered());
    rows.put("orders_not_run", metrics -> "" + metrics.ordersNotRun());
    rows.put("orders_unknown", metrics -> "" + metrics.ordersUnknown());
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
