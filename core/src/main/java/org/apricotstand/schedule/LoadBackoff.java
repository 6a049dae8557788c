package org.apricotstand.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;

/**
 * Exponential backoff of failed loads per adapter version: the delay doubles with each consecutive
 * failure, up to a limit.
 */
final class LoadBackoff {

  private static final long INITIAL_DELAY_MS = 200;
  private static final long MAX_DELAY_MS = 10_000;
  private static final int MAX_DOUBLINGS = 6;

  private final RandomGenerator random;
  private final Map<AdapterVersion, Backoff> backoffs = new HashMap<>();

  private record Backoff(int failures, long retryAtMs, Failure failure) {}

  LoadBackoff(RandomGenerator random) {
    this.random = random;
  }

  void recordFailure(AdapterVersion adapterVersion, Failure failure, long nowMs) {
    Backoff previous = backoffs.get(adapterVersion);
    int failures = previous == null ? 1 : previous.failures() + 1;
    long fullMs = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS << Math.min(MAX_DOUBLINGS, failures - 1));
    // Jitter of half of the delay keeps owners whose loads failed together from retrying together.
    long delayMs = fullMs / 2 + random.nextLong(fullMs / 2 + 1);
    backoffs.put(adapterVersion, new Backoff(failures, nowMs + delayMs, failure));
  }

  void recordSuccess(AdapterVersion adapterVersion) {
    backoffs.remove(adapterVersion);
  }

  /** Returns the time from which a load may be tried; a time in the past if no load failed. */
  long retryAtMs(AdapterVersion adapterVersion) {
    Backoff backoff = backoffs.get(adapterVersion);
    return backoff == null ? Long.MIN_VALUE : backoff.retryAtMs();
  }

  /** Returns the failure of the last load, or null if it succeeded or there was none. */
  Failure lastFailure(AdapterVersion adapterVersion) {
    Backoff backoff = backoffs.get(adapterVersion);
    return backoff == null ? null : backoff.failure();
  }

  /**
   * Removes failures whose retry time is before the given time: their adapters were not requested
   * again since.
   */
  void removeRetriesBefore(long beforeMs) {
    backoffs.values().removeIf(backoff -> backoff.retryAtMs() < beforeMs);
  }
}
