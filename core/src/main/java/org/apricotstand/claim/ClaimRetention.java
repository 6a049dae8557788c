package org.apricotstand.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Decides which claim rows are old enough to be removed. */
public final class ClaimRetention {

  /**
   * How long a row is kept. Callers resend within seconds to minutes, and a clerk within the
   * working day; a day covers both.
   */
  public static final long KEEP_MS = 24L * 60 * 60 * 1_000;

  /** Rows removed by one transaction, so that a removal never holds up the writes of claims. */
  public static final int MAX_ROWS = 100;

  private static final int PREFIX_DIGITS = 3;

  private ClaimRetention() {}

  /** Number of parts of the table that are looked through one after the other. */
  public static final int BUCKETS = 1 << (4 * PREFIX_DIGITS);

  /** Returns the key prefix of a part of the table. */
  public static String prefix(int bucket) {
    String hex = Integer.toHexString(Math.floorMod(bucket, BUCKETS));
    return "0".repeat(PREFIX_DIGITS - hex.length()) + hex;
  }

  /** Returns the writes that remove the oldest rows past their time, at most {@link #MAX_ROWS}. */
  public static List<ClaimWrite> removals(
      Collection<Map.Entry<String, StoredClaim>> rows, long nowEpochMs) {
    return rows.stream()
        .filter(entry -> entry.getValue().row().claimedAtEpochMs() + KEEP_MS <= nowEpochMs)
        .sorted(Comparator.comparingLong(entry -> entry.getValue().row().claimedAtEpochMs()))
        .limit(MAX_ROWS)
        .map(
            entry ->
                new ClaimWrite(
                    entry.getValue().row().nonce(),
                    entry.getKey(),
                    entry.getValue().version(),
                    java.util.Optional.empty()))
        .toList();
  }
}
