package org.apricotstand.request;

import java.util.OptionalDouble;

/** Reads the limit that a target names in an answer. */
final class RateLimitHeader {

  private RateLimitHeader() {}

  /**
   * Returns the requests a second that the target takes; empty if it names no limit or none that
   * can be read.
   *
   * @param value value of the header; null if the answer has none
   */
  static OptionalDouble perSecond(String value) {
    if (value == null || !value.strip().matches("\\d{1,9}(\\.\\d{1,9})?")) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(Double.parseDouble(value.strip()));
  }
}
