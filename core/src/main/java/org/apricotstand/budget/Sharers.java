package org.apricotstand.budget;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Position of this instance among those that share the weight store. All sharers have to use the
 * same count and different indexes; otherwise their shares may add up to more than the limits.
 *
 * @param count number of instances that may start loads
 * @param index position of this instance, from 0
 */
public record Sharers(int count, int index) {

  /** Rejects a position outside of the sharers. */
  public Sharers {
    checkArgument(count > 0, "count must be positive: %s", count);
    checkArgument(index >= 0 && index < count, "index %s is not below %s", index, count);
  }
}
