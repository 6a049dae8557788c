package org.apricotstand.bench;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Metrics of one policy; section 12 of the design page defines the names. */
record PolicyMetrics(
    @JsonProperty("load_stall_ms") Summary loadStallMs,
    @JsonProperty("batch_fill_ratio") double batchFillRatio,
    @JsonProperty("first_byte_ms") Summary firstByteMs,
    @JsonProperty("answered") long answered,
    @JsonProperty("not_run") long notRun,
    @JsonProperty("outcome_unknown") long outcomeUnknown,
    @JsonProperty("wrong_version") long wrongVersion,
    @JsonProperty("evicted_in_use") long evictedInUse,
    @JsonProperty("duplicate_runs") long duplicateRuns,
    @JsonProperty("ran_after_not_run") long ranAfterNotRun,
    @JsonProperty("incomplete_answers") long incompleteAnswers,
    @JsonProperty("loads") long loads,
    @JsonProperty("orders_answered") long ordersAnswered,
    @JsonProperty("orders_not_run") long ordersNotRun,
    @JsonProperty("orders_unknown") long ordersUnknown) {

  /** Percentiles and mean of a time in milliseconds. */
  record Summary(long p50, long p95, long p99, double mean) {}

  /** Returns the sum of the counts that must be 0 for a safe policy. */
  long violations() {
    return wrongVersion + evictedInUse + duplicateRuns + ranAfterNotRun + incompleteAnswers;
  }
}
