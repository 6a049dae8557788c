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
  private final Map<AdapterVersion, FailedLoad> failedLoads = new HashMap<>();

  private record FailedLoad(int consecutiveFailures, long retryAtMs, Failure failure) {}

  LoadBackoff(RandomGenerator random) {
    this.random = random;
  }

  void recordFailure(AdapterVersion adapterVersion, Failure failure, long nowMs) {
    FailedLoad previous = failedLoads.get(adapterVersion);
    int failures = previous == null ? 1 : previous.consecutiveFailures() + 1;
    long fullMs = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS << Math.min(MAX_DOUBLINGS, failures - 1));
    // Jitter of half of the delay keeps owners whose loads failed together from retrying together.
    long delayMs = fullMs / 2 + random.nextLong(fullMs / 2 + 1);
    failedLoads.put(adapterVersion, new FailedLoad(failures, nowMs + delayMs, failure));
  }

  void recordSuccess(AdapterVersion adapterVersion) {
    failedLoads.remove(adapterVersion);
  }

  /** Returns the time from which a load may be tried; a time in the past if no load failed. */
  long retryAtMs(AdapterVersion adapterVersion) {
    FailedLoad failedLoad = failedLoads.get(adapterVersion);
    return failedLoad == null ? Long.MIN_VALUE : failedLoad.retryAtMs();
  }

  /** Returns the failure of the last load, or null if it succeeded or there was none. */
  Failure lastFailure(AdapterVersion adapterVersion) {
    FailedLoad failedLoad = failedLoads.get(adapterVersion);
    return failedLoad == null ? null : failedLoad.failure();
  }

  /**
   * Removes failures whose retry time is before the given time: their adapters were not requested
   * again since.
   */
  void removeRetriesBefore(long beforeMs) {
    failedLoads.values().removeIf(failedLoad -> failedLoad.retryAtMs() < beforeMs);
  }
}
