package org.apricotstand.it;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls for conditions. Timeouts are generous because no test asserts on speed. */
public final class Await {

  private static final long POLL_INTERVAL_MS = 10;

  /** Default timeout, long enough for every condition of these tests on a busy machine. */
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
      sleep();
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
