package org.apricotstand.request;

import java.util.List;
import java.util.OptionalLong;

/** Reads for how long a target that refuses a request wants no further one. */
final class RetryAfterHeader {

  private static final double MS_PER_S = 1_000;

  private RetryAfterHeader() {}

  /**
   * Returns the time in milliseconds; empty if no value can be read. Dates are not read, since the
   * clocks of targets may differ. Of several values the largest counts.
   *
   * @param values values of the header, in seconds
   */
  static OptionalLong delayMs(List<String> values) {
    return values.stream()
        .map(String::strip)
        .filter(value -> value.matches("\\d{1,9}(\\.\\d{1,9})?"))
        .mapToLong(value -> (long) Math.ceil(Double.parseDouble(value) * MS_PER_S))
        .max();
  }
}
