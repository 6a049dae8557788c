package org.apricotstand.it;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for events; the limits are generous, since no test asserts on speed. */
public final class Await {

  private static final long POLL_MS = 10;

  /** Limit that fits every event of these tests on a busy machine. */
  public static final long LIMIT_MS = 90_000;

  private Await() {}

  /** Waits until a condition holds, and fails after the usual limit. */
  public static void until(String what, BooleanSupplier condition) {
    until(what, LIMIT_MS, condition);
  }

  /** Waits until a condition holds, and fails after the given limit. */
  public static void until(String what, long limitMs, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("not within " + limitMs + " ms: " + what);
      }
      sleep();
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
