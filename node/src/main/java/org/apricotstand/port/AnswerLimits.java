package org.apricotstand.port;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds what an instance reads of an answer without passing it on. A target in trouble may send
 * bytes without end that are no answer.
 *
 * @param maxHeldBytes bytes of one answer that are kept until its end, or of one event of a stream;
 *     the connection is closed beyond that
 * @param maxSkippedBytes bytes that are read and dropped before the answer to a request, or of an
 *     answer that is not passed on; the connection is closed beyond that
 * @param maxHeldTotalBytes bytes of all answers together that are kept until their end; beyond that
 *     the connection of the answer that holds most is closed
 */
public record AnswerLimits(int maxHeldBytes, int maxSkippedBytes, long maxHeldTotalBytes) {

  /** Limits of an instance whose settings name none. */
  public static final AnswerLimits DEFAULT = new AnswerLimits(1_048_576, 262_144, 8_388_608);

  private static final int MIN_BYTES = 1_024;

  /** Checks that answers of usual size can pass. */
  public AnswerLimits {
    checkArgument(
        maxHeldBytes >= MIN_BYTES, "maxHeldBytes %s is less than %s", maxHeldBytes, MIN_BYTES);
    checkArgument(
        maxSkippedBytes >= MIN_BYTES,
        "maxSkippedBytes %s is less than %s",
        maxSkippedBytes,
        MIN_BYTES);
    checkArgument(
        maxHeldTotalBytes >= maxHeldBytes,
        "maxHeldTotalBytes %s is less than maxHeldBytes %s",
        maxHeldTotalBytes,
        maxHeldBytes);
  }
}
