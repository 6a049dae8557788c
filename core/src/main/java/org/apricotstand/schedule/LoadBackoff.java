package org.apricotstand.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;

/** Waiting times after failed loads, per adapter version, doubled with each failure in a row. */
final class LoadBackoff {

  private static final long FIRST_MS = 200;
  private static final long LONGEST_MS = 10_000;
  private static final int MAX_DOUBLINGS = 6;

  private final RandomGenerator random;
  private final Map<AdapterVersion, Backoff> failed = new HashMap<>();

  private record Backoff(int failures, long retryMs, Failure failure) {}

  LoadBackoff(RandomGenerator random) {
    this.random = random;
  }

  void failed(AdapterVersion adapterVersion, Failure failure, long nowMs) {
    Backoff before = failed.get(adapterVersion);
    int failures = before == null ? 1 : before.failures() + 1;
    long fullMs = Math.min(LONGEST_MS, FIRST_MS << Math.min(MAX_DOUBLINGS, failures - 1));
    // Jitter over half of the time keeps owners that failed together from retrying together.
    long delayMs = fullMs / 2 + random.nextLong(fullMs / 2 + 1);
    failed.put(adapterVersion, new Backoff(failures, nowMs + delayMs, failure));
  }

  void succeeded(AdapterVersion adapterVersion) {
    failed.remove(adapterVersion);
  }

  /** Returns when a load may be tried; a past time when nothing failed. */
  long retryMs(AdapterVersion adapterVersion) {
    Backoff backoff = failed.get(adapterVersion);
    return backoff == null ? Long.MIN_VALUE : backoff.retryMs();
  }

  /** Returns the last failure of a load, or null. */
  Failure lastFailure(AdapterVersion adapterVersion) {
    Backoff backoff = failed.get(adapterVersion);
    return backoff == null ? null : backoff.failure();
  }

  /** Forgets failures that ended long ago and whose adapter nobody asked for since. */
  void forgetBefore(long beforeMs) {
    failed.values().removeIf(backoff -> backoff.retryMs() < beforeMs);
  }
}
