package org.apricotstand.overlay;

/**
 * Orders the versions of one entry.
 *
 * @param epoch number that increases when the entry gets a new writer or its writer restarts
 * @param sequence number that increases with each change by one writer
 */
public record EntryVersion(long epoch, long sequence) implements Comparable<EntryVersion> {

  @Override
  public int compareTo(EntryVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch == 0 ? Long.compare(sequence, other.sequence) : byEpoch;
  }
}
