package org.apricotstand.quota;

/** Sum of what was used in a sliding window, in constant time and space. */
final class UseWindow {

  private static final int SLOTS = 32;

  private final long slotMs;
  // One slot more than the window has, since the oldest one is in the window in part.
  private final double[] usedBySlot = new double[SLOTS + 1];
  private double sum;
  private long newestSlot;

  UseWindow(long windowMs, long nowMs) {
    slotMs = Math.max(1, (windowMs + SLOTS - 1) / SLOTS);
    newestSlot = Math.floorDiv(nowMs, slotMs);
  }

  /** Adds to the use. */
  void add(double use, long nowMs) {
    advance(nowMs);
    usedBySlot[indexOf(newestSlot)] += use;
    sum += use;
  }

  /** Takes use back that was added at a time, unless it has left the window. */
  void takeBack(double use, long addedMs, long nowMs) {
    advance(nowMs);
    long slot = Math.floorDiv(addedMs, slotMs);
    if (newestSlot - slot < usedBySlot.length) {
      usedBySlot[indexOf(slot)] -= use;
      sum -= use;
    }
  }

  /** Returns the use in the window that ends now. */
  double sum(long nowMs) {
    advance(nowMs);
    return Math.max(0, sum);
  }

  private void advance(long nowMs) {
    long slot = Math.floorDiv(nowMs, slotMs);
    if (slot - newestSlot > usedBySlot.length) {
      newestSlot = slot - usedBySlot.length;
    }
    while (newestSlot < slot) {
      newestSlot++;
      sum -= usedBySlot[indexOf(newestSlot)];
      usedBySlot[indexOf(newestSlot)] = 0;
    }
  }

  private int indexOf(long slot) {
    return Math.floorMod(slot, usedBySlot.length);
  }
}
