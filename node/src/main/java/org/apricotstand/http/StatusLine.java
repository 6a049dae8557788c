package org.apricotstand.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Recognizes heads that are put together from those of several answers. A server that writes an
 * answer once more and stops inside the head joins it to the next one: the first line is that of
 * one answer, headers and body are those of the other.
 */
public final class StatusLine {

  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
  private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
  private static final String START = "HTTP/1.";
  private static final Pattern ANYWHERE = Pattern.compile("HTTP/1\\.[01] [1-9]\\d\\d");

  private StatusLine() {}

  /** Returns whether these are the parts of exactly one status line. */
  public static boolean isValid(String version, String status, String reason) {
    return VERSION.matcher(version).matches()
        && STATUS.matcher(status).matches()
        && !isContainedIn(reason);
  }

  /** Returns whether the text contains a status line. */
  public static boolean isContainedIn(String text) {
    return text.contains(START) && ANYWHERE.matcher(text).find();
  }

  /** Returns the name of a header whose value contains a status line. */
  public static Optional<String> findIn(HttpHeaders headers) {
    for (Map.Entry<String, String> header : headers) {
      if (isContainedIn(header.getValue())) {
        return Optional.of(header.getKey());
      }
    }
    return Optional.empty();
  }
}
