package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * Version of a row or of the whole table service. The service gives out its numbers again after it
 * was restored from an older copy, so versions are ordered by era first.
 *
 * @param era number that rises each time the service is restored; 0 if the service names none
 * @param number number within the era, which rises with each change; 0 for a row that does not
 *     exist
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {

  /** Lower than the version of any row. */
  public static final StoreVersion NONE = new StoreVersion(0, 0);

  /** Largest era of which a fencing token can be made. */
  public static final long MAX_ERA = (1 << 22) - 1;

  /**
   * Bits of a fencing token that hold the number. At 1,000 changes a second, 40 bits are enough for
   * 34 years; up to era 8,191 a token is an exact JSON number for readers that use doubles.
   */
  private static final int NUMBER_BITS = 40;

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

  /** Checks the range of the era. */
  public StoreVersion {
    checkArgument(era >= 0 && era <= MAX_ERA, "era %s is out of range", era);
  }

  /** Returns the version with a number of a service that names no era. */
  public static StoreVersion withoutEra(long number) {
    return new StoreVersion(0, number);
  }

  /** Returns the version of a row that does not exist in an era. */
  public static StoreVersion absentIn(long era) {
    return new StoreVersion(era, 0);
  }

  /** Returns whether this is the version of a row that does not exist. */
  public boolean isAbsent() {
    return number == 0;
  }

  /** Returns whether this version is later than another one. */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns the later one of this version and another one. */
  public StoreVersion max(StoreVersion other) {
    return other.isAfter(this) ? other : this;
  }

  /** Returns a number that is ordered like the versions; in era 0 it is the number. */
  public long fencingNumber() {
    return (era << NUMBER_BITS) + number;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return era + "." + number;
  }
}
