package org.apricotstand.standin.process;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other processes bring about, with generous timeouts. */
public final class Await {

  private static final long POLL_INTERVAL_MS = 10;

  /** Default timeout, long enough for every condition of the tests on a busy machine. */
  public static final long TIMEOUT_MS = 90_000;

  private Await() {}

  /** Waits until a condition holds; throws an AssertionError after {@link #TIMEOUT_MS}. */
  public static void until(String description, BooleanSupplier condition) {
    until(description, TIMEOUT_MS, condition);
  }

  /** Waits until a condition holds; throws an AssertionError after the given timeout. */
  public static void until(String description, long timeoutMs, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition not met within " + timeoutMs + " ms: " + description);
      }
      pause(POLL_INTERVAL_MS);
    }
  }

  /** Waits for a time. */
  public static void pause(long durationMs) {
    try {
      Thread.sleep(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
