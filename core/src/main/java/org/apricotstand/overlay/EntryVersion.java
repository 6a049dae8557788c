package org.apricotstand.overlay;

import java.util.Comparator;

/**
 * Orders the versions of one entry.
 *
 * @param epoch number that increases when the entry gets a new writer or its writer restarts
 * @param sequence number that increases with each change by one writer
 */
public record EntryVersion(long epoch, long sequence) implements Comparable<EntryVersion> {

  private static final Comparator<EntryVersion> ORDER =
      Comparator.comparingLong(EntryVersion::epoch).thenComparingLong(EntryVersion::sequence);

  @Override
  public int compareTo(EntryVersion other) {
    return ORDER.compare(this, other);
  }
}
