package org.apricotstand.budget;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Position of this instance among the instances that share the limits of the weight store. All of
 * them must use the same count and different indexes; otherwise their shares may add up to more
 * than the limits.
 *
 * @param count number of instances that share the limits
 * @param index position of this instance, from 0
 */
public record SharePosition(int count, int index) {

  /** Checks that the index is below the count. */
  public SharePosition {
    checkArgument(count > 0, "count must be positive: %s", count);
    checkArgument(index >= 0 && index < count, "index %s is not below %s", index, count);
  }
}
