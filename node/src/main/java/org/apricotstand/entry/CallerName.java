package org.apricotstand.entry;

import org.apricotstand.http.HttpRequest;

/** Determines the name of a caller, by which limits and fair shares are applied. */
final class CallerName {

  /** Header with the name of the caller, set by the caller or by a proxy in front of it. */
  static final String HEADER = "x-caller";

  /**
   * Maximum length in characters. Bounds the memory that a caller can fill by the keys of the
   * counts per caller.
   */
  private static final int MAX_LENGTH = 64;

  private CallerName() {}

  /** Returns the name in the header, cut to the maximum length, or the caller's IP address. */
  static String of(HttpRequest request) {
    String name = request.header(HEADER);
    if (name == null || name.isBlank()) {
      return request.remoteAddress();
    }
    return name.length() > MAX_LENGTH ? name.substring(0, MAX_LENGTH) : name;
  }
}
