package org.apricotstand.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Selects the claim rows that are old enough to be removed. */
public final class ClaimRetention {

  /**
   * How long a row is kept. Callers retry within seconds to minutes, and people who resubmit a
   * request by hand do so within the working day, so that a day covers both.
   */
  public static final long RETENTION_MS = 24L * 60 * 60 * 1_000;

  /** Maximum number of rows that one transaction removes, so that removals do not delay claims. */
  public static final int MAX_ROWS_PER_TRANSACTION = 100;

  private static final int PREFIX_DIGITS = 3;

  private ClaimRetention() {}

  /** Number of buckets of the table, which are scanned one after the other. */
  public static final int BUCKETS = 1 << (4 * PREFIX_DIGITS);

  /** Returns the prefix of the row keys in a bucket of the table. */
  public static String keyPrefix(int bucket) {
    String hex = Integer.toHexString(Math.floorMod(bucket, BUCKETS));
    return "0".repeat(PREFIX_DIGITS - hex.length()) + hex;
  }

  /**
   * Returns writes that delete the oldest expired rows, at most {@link #MAX_ROWS_PER_TRANSACTION}.
   */
  public static List<ClaimWrite> removals(
      Collection<Map.Entry<String, StoredClaim>> rows, long nowEpochMs) {
    return rows.stream()
        .filter(entry -> entry.getValue().row().claimedAtEpochMs() + RETENTION_MS <= nowEpochMs)
        .sorted(Comparator.comparingLong(entry -> entry.getValue().row().claimedAtEpochMs()))
        .limit(MAX_ROWS_PER_TRANSACTION)
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
