package review;

/** The monotonic clock of a case. */
final class Clock {

  private Clock() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleepUntil(long timeMs) {
    sleep(timeMs - nowMs());
  }

  static void sleep(long durationMs) {
    try {
      Thread.sleep(Math.max(0, durationMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
