package org.apricotstand.standin.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Times the loads of adapter weights: a rate limit with a small burst, and a load time that grows
 * when more loads are in flight than the store serves at full speed.
 */
final class WeightStore {

  private static final double MS_PER_S = 1_000;

  private final double loadsPerSecond;
  private final int burst;
  private final int fullSpeedInFlight;
  private final long loadMs;
  private final List<WeightLoad> loads = new ArrayList<>();
  private double nextFreeMs;
  private int inFlight;

  WeightStore(double loadsPerSecond, int burst, int fullSpeedInFlight, long loadMs) {
    this.loadsPerSecond = loadsPerSecond;
    this.burst = burst;
    this.fullSpeedInFlight = fullSpeedInFlight;
    this.loadMs = loadMs;
  }

  /** Starts a load and returns when it is complete. */
  long start(String adapterVersion, long nowMs) {
    inFlight++;
    double intervalMs = MS_PER_S / loadsPerSecond;
    double startMs = Math.max(nowMs, nextFreeMs - (burst - 1) * intervalMs);
    nextFreeMs = Math.max(nextFreeMs, nowMs) + intervalMs;
    double slowdown = Math.max(1.0, (double) inFlight / fullSpeedInFlight);
    long doneMs = (long) Math.ceil(startMs + loadMs * slowdown);
    loads.add(new WeightLoad(adapterVersion, nowMs, (long) startMs, doneMs, inFlight));
    return doneMs;
  }

  void finish() {
    inFlight--;
  }

  List<WeightLoad> loads() {
    return List.copyOf(loads);
  }
}
