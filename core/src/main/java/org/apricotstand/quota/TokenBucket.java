package org.apricotstand.quota;

/**
 * Token bucket whose rate and capacity may change at any time. A request larger than the capacity
 * is admitted when the bucket is full and leaves it in debt, so that large requests of small
 * tenants are not refused for ever.
 */
final class TokenBucket {

  private static final double MS_PER_S = 1_000;

  private double ratePerS;
  private double capacity;
  private double level;
  private long levelAtMs;

  /** Creates an empty bucket; a process that restarts may have used its part just before. */
  TokenBucket(long nowMs) {
    levelAtMs = nowMs;
  }

  /** Sets the rate and the capacity; what the bucket holds beyond the new capacity is lost. */
  void setSize(double newRatePerS, double newCapacity, long nowMs) {
    refill(Math.min(ratePerS, newRatePerS), nowMs);
    ratePerS = newRatePerS;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  private void refill(double refillPerS, long nowMs) {
    if (nowMs > levelAtMs) {
      level = Math.min(capacity, level + refillPerS * (nowMs - levelAtMs) / MS_PER_S);
      levelAtMs = nowMs;
    }
  }

  /** Takes the cost of a request; returns whether there was enough. */
  boolean tryTake(double cost, long nowMs) {
    refill(ratePerS, nowMs);
    if (level < Math.min(cost, capacity) || capacity <= 0) {
      return false;
    }
    level -= cost;
    return true;
  }

  /** Gives back the cost of a request that was not sent. */
  void giveBack(double cost) {
    level = Math.min(capacity, level + cost);
  }

  /** Returns the time until a request of this cost can be admitted if no other one comes. */
  long waitMs(double cost, long nowMs) {
    refill(ratePerS, nowMs);
    double missing = Math.min(cost, capacity) - level;
    if (missing <= 0) {
      return 0;
    }
    return ratePerS <= 0
        ? Long.MAX_VALUE
        : (long) Math.min(Integer.MAX_VALUE, Math.ceil(missing * MS_PER_S / ratePerS));
  }
}
