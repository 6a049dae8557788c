package org.apricotstand.control;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Detects that the process was paused between two tasks. Watches both the monotonic and the wall
 * clock, since the monotonic clock may stop while a virtual machine is suspended.
 */
final class PauseWatchdog {

  /**
   * Gap between two tasks that counts as a pause; longer than any task or garbage collection, and
   * shorter than the safety margins of leases.
   */
  static final long MIN_PAUSE_MS = 1_100;

  private final LongSupplier monotonicClock;
  private final LongSupplier wallClock;
  private LongConsumer listener;
  private long lastMonotonicMs;
  private long lastWallMs;

  PauseWatchdog(LongSupplier monotonicClock) {
    this(monotonicClock, System::currentTimeMillis);
  }

  PauseWatchdog(LongSupplier monotonicClock, LongSupplier wallClock) {
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
  }

  /** Starts to watch; the listener receives the length of each pause in milliseconds. */
  void watch(LongConsumer pauseListener) {
    lastMonotonicMs = monotonicClock.getAsLong();
    lastWallMs = wallClock.getAsLong();
    listener = pauseListener;
  }

  /** Compares the clocks with the previous call; to be called before each task. */
  void check() {
    if (listener == null) {
      return;
    }
    long nowMonotonicMs = monotonicClock.getAsLong();
    long nowWallMs = wallClock.getAsLong();
    long gapMs = Math.max(nowMonotonicMs - lastMonotonicMs, nowWallMs - lastWallMs);
    lastMonotonicMs = nowMonotonicMs;
    lastWallMs = nowWallMs;
    if (gapMs >= MIN_PAUSE_MS) {
      listener.accept(gapMs);
    }
  }
}
