package org.apricotstand.observe;

/**
 * Measures how late a thread runs a periodic task. A thread that is late has spent the time on
 * other tasks, or the process got no processor. Delays of {@value #MIN_LOGGED_MS} ms and more are
 * logged; the longest one is a metric.
 *
 * <pre>{@code
 * ThreadDelay delay = new ThreadDelay("traffic", PERIOD_MS, metrics);
 * delay.record(nowMs); // at the start of each run of the task
 * }</pre>
 */
public final class ThreadDelay {

  private static final EventLog LOG = EventLog.of(ThreadDelay.class);
  private static final long MIN_LOGGED_MS = 250;

  private final String thread;
  private final long periodMs;
  private long dueMs = Long.MAX_VALUE;
  private volatile long longestMs;

  /**
   * Creates a measurement and registers its metric {@code THREAD.max_delay_ms}.
   *
   * @param periodMs time from the end of a run of the task to the next one
   */
  public ThreadDelay(String thread, long periodMs, Metrics metrics) {
    this.thread = thread;
    this.periodMs = periodMs;
    metrics.gauge(thread + ".max_delay_ms", () -> longestMs);
  }

  /** Records that the task runs now; belongs to the thread. */
  public void record(long nowMs) {
    long lateMs = Math.max(0, nowMs - dueMs);
    dueMs = nowMs + periodMs;
    longestMs = Math.max(longestMs, lateMs);
    if (lateMs >= MIN_LOGGED_MS) {
      LOG.warn("thread_delayed", "thread", thread, "late_ms", lateMs);
    }
  }
}
