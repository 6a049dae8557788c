package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Determines which fraction of an allowance per window this instance may use, so that the fractions
 * of all instances add up to at most 1 in each window. The instances do not have to reach each
 * other.
 *
 * <p>All instances that can use the allowance in a window have known each other at its start: a new
 * process waits for one window, since its previous life may have used its share, and since the
 * others may not know it yet. Instances that are out of reach keep their share, since they may be
 * serving requests on the other side of a partition. A share grows one window after the number of
 * instances has fallen.
 *
 * <pre>{@code
 * share.setInstances(instances, nowMs);
 * double fraction = share.fraction(nowMs);
 * }</pre>
 */
public final class AllowanceShare {

  private static final long NEVER = Long.MAX_VALUE;

  private final long windowMs;
  private int instances;
  private int fewerInstances;
  private long fewerFromMs = NEVER;
  private long usableFromMs = NEVER;

  /**
   * Creates a share of 0, which it remains until the number of instances is known.
   *
   * @param windowMs length of the window to which the allowance applies
   */
  public AllowanceShare(long windowMs) {
    checkArgument(windowMs > 0, "window must be positive: %s", windowMs);
    this.windowMs = windowMs;
  }

  /**
   * Sets the number of instances, with this one and with those that are out of reach.
   *
   * @return whether the number differs from the one before
   */
  public boolean setInstances(int newInstances, long nowMs) {
    checkArgument(newInstances > 0, "instances must be positive: %s", newInstances);
    int before = fewerFromMs == NEVER ? instances : fewerInstances;
    if (newInstances == before) {
      return false;
    }
    if (usableFromMs == NEVER) {
      usableFromMs = nowMs + windowMs;
    }
    applyFewer(nowMs);
    if (newInstances >= instances) {
      instances = newInstances;
      fewerFromMs = NEVER;
    } else {
      fewerInstances = newInstances;
      fewerFromMs = nowMs + windowMs;
    }
    return true;
  }

  /** Returns the fraction of the allowance that this instance may use in a window. */
  public double fraction(long nowMs) {
    applyFewer(nowMs);
    return nowMs < usableFromMs ? 0 : 1.0 / instances;
  }

  private void applyFewer(long nowMs) {
    if (nowMs >= fewerFromMs) {
      instances = fewerInstances;
      fewerFromMs = NEVER;
    }
  }
}
