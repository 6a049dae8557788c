package org.apricotstand.fleet;

import java.util.function.LongSupplier;
import org.apricotstand.control.ControlThread;

/**
 * Runs a task on the control thread again and again, with a period that depends on what there is to
 * do, since each run wakes up the process. Not thread-safe; used on the control thread only.
 */
final class Ticker {

  private final ControlThread control;
  private final Runnable task;
  private final LongSupplier periodMs;
  private long nextMs = Long.MAX_VALUE;

  /**
   * Creates a ticker that is not started.
   *
   * @param periodMs returns the longest time from the start of the last run to the next one
   */
  Ticker(ControlThread control, Runnable task, LongSupplier periodMs) {
    this.control = control;
    this.task = task;
    this.periodMs = periodMs;
  }

  /** Runs the task at the given time, and regularly after that, unless it runs before. */
  void schedule(long dueMs) {
    if (dueMs < nextMs) {
      nextMs = dueMs;
      control.executeAt(dueMs, () -> run(dueMs));
    }
  }

  private void run(long dueMs) {
    if (dueMs != nextMs) {
      // An earlier run was scheduled in the meantime, which has scheduled the next one.
      return;
    }
    long startMs = ControlThread.nowMs();
    nextMs = Long.MAX_VALUE;
    try {
      task.run();
    } finally {
      long nextPeriodMs = periodMs.getAsLong();
      long latestMs = startMs + nextPeriodMs;
      schedule(nextPeriodMs < ControlThread.ALIGNMENT_MS ? latestMs : control.align(latestMs));
    }
  }
}
