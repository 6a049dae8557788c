package org.apricotstand.request;

import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.SlotEvent;

/** The wait of one request for the load of its adapter at one engine after the other. */
final class LoadWait {

  /** Time after which a request that still waits asks the owner for the same load again. */
  private static final long REQUEST_INTERVAL_MS = 400;

  /** Typical time from the start of a load to the first byte of the answer. */
  private static final long LOAD_TO_FIRST_BYTE_MS = 450;

  /** Time to wait for a load at one engine before another engine is chosen. */
  private static final long TIMEOUT_MS = 2_000;

  private final FleetNotifier fleetNotifier;
  private final AdapterKey adapter;
  private final long deadlineMs;
  private final long latestStartMs;
  private String engine;
  private long startMs;
  private long lastRequestMs;

  /**
   * Creates the wait of a request that has not asked for a load.
   *
   * @param adapter adapter of the request; null if it needs none
   * @param deadlineMs monotonic time until which the request waits
   * @param onTimeMs monotonic time until which an answer is on time
   */
  LoadWait(FleetNotifier fleetNotifier, AdapterKey adapter, long deadlineMs, long onTimeMs) {
    this.fleetNotifier = fleetNotifier;
    this.adapter = adapter;
    this.deadlineMs = deadlineMs;
    this.latestStartMs = onTimeMs - LOAD_TO_FIRST_BYTE_MS;
  }

  /** Returns the engine that was asked for the load; null if none was. */
  String engine() {
    return engine;
  }

  /** Returns whether the load makes no progress at this engine or its owner. */
  boolean isOverdueAt(String candidate, long nowMs) {
    return candidate.equals(engine) && nowMs - startMs > TIMEOUT_MS;
  }

  /** Forgets the engine that was asked. */
  void abandon() {
    engine = null;
  }

  /**
   * Waits for the load at an engine, and asks its owner for it unless it was asked a moment ago.
   *
   * @param canLoad whether the engine has a reachable owner
   * @param version declared version of the adapter
   */
  void waitFor(String candidate, boolean canLoad, long version, long nowMs) {
    boolean sameEngine = candidate.equals(engine);
    if (!sameEngine) {
      startMs = nowMs;
    }
    boolean requestedRecently = sameEngine && nowMs - lastRequestMs < REQUEST_INTERVAL_MS;
    if (!requestedRecently && canLoad) {
      engine = candidate;
      lastRequestMs = nowMs;
      // The load request expires soon and is renewed while the caller waits, so that no adapter is
      // loaded for callers that have disconnected.
      long loadUntilMs = Math.min(deadlineMs, nowMs + 2 * REQUEST_INTERVAL_MS);
      fleetNotifier.requestLoad(
          engine, new SlotEvent.LoadRequested(adapter, version, loadUntilMs, latestStartMs));
    }
  }
}
