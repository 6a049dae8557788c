package org.apricotstand.control;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Notices that the process stood still between two tasks. Both clocks are compared, since the
 * monotonic clock may stop while a virtual machine is suspended.
 */
final class PauseWatchdog {

  /** Longer than any task or garbage collection, and shorter than the margins of leases. */
  static final long PAUSE_MS = 1_100;

  private final LongSupplier monotonicClock;
  private final LongSupplier wallClock;
  private LongConsumer listener;
  private long lastMs;
  private long lastWallMs;

  PauseWatchdog(LongSupplier monotonicClock) {
    this(monotonicClock, System::currentTimeMillis);
  }

  PauseWatchdog(LongSupplier monotonicClock, LongSupplier wallClock) {
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
  }

  /** Starts to watch. */
  void watch(LongConsumer onPause) {
    lastMs = monotonicClock.getAsLong();
    lastWallMs = wallClock.getAsLong();
    listener = onPause;
  }

  /** Called before each task. */
  void check() {
    if (listener == null) {
      return;
    }
    long nowMs = monotonicClock.getAsLong();
    long nowWallMs = wallClock.getAsLong();
    long gapMs = Math.max(nowMs - lastMs, nowWallMs - lastWallMs);
    lastMs = nowMs;
    lastWallMs = nowWallMs;
    if (gapMs >= PAUSE_MS) {
      listener.accept(gapMs);
    }
  }
}
