package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Determines which fraction of an allowance per window this instance may use, so that the fractions
 * of all instances add up to at most 1 in each window. The instances do not have to reach each
 * other.
 *
 * <p>All instances with a full share in a window have known each other at its start. A new process
 * has a smaller share for one window, from a part of the allowance that is kept for new processes:
 * its previous life may have used the full one, and the others may not know it yet. Instances that
 * are out of reach keep their share, since they may be serving requests on the other side of a
 * partition. A share grows one window after the number of instances has fallen.
 *
 * <pre>{@code
 * share.setInstances(instances, nowMs);
 * double fraction = share.fraction(nowMs);
 * }</pre>
 */
public final class AllowanceShare {

  /** Part of the allowance for processes in their first window; the others share the rest. */
  static final double NEW_PROCESS_FRACTION = 0.2;

  private static final long NEVER = Long.MAX_VALUE;

  private final long windowMs;
  private int instances;
  private int fewerInstances;
  private long fewerFromMs = NEVER;
  private long fullFromMs = NEVER;

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
    if (fullFromMs == NEVER) {
      fullFromMs = nowMs + windowMs;
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
    if (instances == 0) {
      return 0;
    }
    boolean isNew = nowMs < fullFromMs;
    return (isNew ? NEW_PROCESS_FRACTION : 1 - NEW_PROCESS_FRACTION) / instances;
  }

  private void applyFewer(long nowMs) {
    if (nowMs >= fewerFromMs) {
      instances = fewerInstances;
      fewerFromMs = NEVER;
    }
  }
}
