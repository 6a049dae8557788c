package org.apricotstand.standin.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes how long loads of adapter weights take. A rate limit with a burst delays their start,
 * and the load time grows when more loads are in flight than the store serves at full speed.
 */
final class WeightStore {

  private static final double MS_PER_S = 1_000;

  private final double loadsPerSecond;
  private final int burst;
  private final int maxLoadsAtFullSpeed;
  private final long loadMs;
  private final List<WeightLoad> loads = new ArrayList<>();

  /** Earliest time at which the next load may start without using the burst. */
  private double nextStartMs;

  private int inFlight;

  WeightStore(double loadsPerSecond, int burst, int maxLoadsAtFullSpeed, long loadMs) {
    this.loadsPerSecond = loadsPerSecond;
    this.burst = burst;
    this.maxLoadsAtFullSpeed = maxLoadsAtFullSpeed;
    this.loadMs = loadMs;
  }

  /** Starts a load and returns the monotonic time in milliseconds at which it is complete. */
  long startLoad(String adapterVersion, long nowMs) {
    inFlight++;
    double intervalMs = MS_PER_S / loadsPerSecond;
    double startMs = Math.max(nowMs, nextStartMs - (burst - 1) * intervalMs);
    nextStartMs = Math.max(nextStartMs, nowMs) + intervalMs;
    double slowdown = Math.max(1.0, (double) inFlight / maxLoadsAtFullSpeed);
    long doneMs = (long) Math.ceil(startMs + loadMs * slowdown);
    loads.add(new WeightLoad(adapterVersion, nowMs, (long) startMs, doneMs, inFlight));
    return doneMs;
  }

  void finishLoad() {
    inFlight--;
  }

  List<WeightLoad> loads() {
    return List.copyOf(loads);
  }
}
