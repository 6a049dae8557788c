package org.apricotstand.upstream;

import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.apricotstand.port.HeaderNames;

/**
 * Finds heads that are put together from those of several answers. A target that writes an answer
 * once more and stops inside the head joins it to the next one: the first line is that of one
 * answer, id, signature and body are those of the other.
 */
final class HeadCheck {

  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
  private static final Pattern STATUS = Pattern.compile("[1-9]\\d\\d");
  private static final String STATUS_LINE_START = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9]\\d\\d");

  private HeadCheck() {}

  /** Returns whether these are the parts of exactly one status line. */
  static boolean isStatusLine(String version, String status, String reason) {
    return VERSION.matcher(version).matches()
        && STATUS.matcher(status).matches()
        && !containsStatusLine(reason);
  }

  /** Returns why the headers can't be those of a single answer; empty if they can. */
  static Optional<String> findFault(HttpResponse head, HeaderNames names) {
    for (Map.Entry<String, String> header : head.headers()) {
      if (containsStatusLine(header.getValue())) {
        return Optional.of("status line in header " + header.getKey());
      }
    }
    return Stream.of(names.requestId(), names.signature())
        .filter(name -> hasSeveralValues(head.headers().getAll(name)))
        .findFirst()
        .map(name -> "several values of header " + name);
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
  }

  private static boolean hasSeveralValues(List<String> values) {
    return values.size() > 1 && values.stream().distinct().count() > 1;
  }
}
