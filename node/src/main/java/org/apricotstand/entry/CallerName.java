package org.apricotstand.entry;

import org.apricotstand.http.HttpRequest;

/** Names the caller of a request, for limits and fair shares. */
final class CallerName {

  /** Header by which a caller, or the system before it, names the caller. */
  static final String HEADER = "x-caller";

  /** A longer name is cut, so that a caller cannot make the counts large. */
  private static final int MAX_LENGTH = 64;

  private CallerName() {}

  /** Returns the name in the header, or the IP number of the other side. */
  static String of(HttpRequest request) {
    String named = request.header(HEADER);
    if (named == null || named.isBlank()) {
      return request.remote();
    }
    return named.length() > MAX_LENGTH ? named.substring(0, MAX_LENGTH) : named;
  }
}
