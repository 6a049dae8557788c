package org.apricotstand.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apricotstand.http.StatusLine;
import org.apricotstand.port.HeaderNames;

/** Finds heads that are put together from those of several answers of a target. */
final class HeadCheck {

  private HeadCheck() {}

  /** Returns why the headers can't be those of a single answer; empty if they can. */
  static Optional<String> findFault(HttpResponse head, HeaderNames names) {
    return StatusLine.findIn(head.headers())
        .map(name -> "status line in header " + name)
        .or(() -> findRepeated(head.headers(), names));
  }

  private static Optional<String> findRepeated(HttpHeaders headers, HeaderNames names) {
    return Stream.of(names.requestId(), names.signature())
        .filter(name -> hasSeveralValues(headers.getAll(name)))
        .findFirst()
        .map(name -> "several values of header " + name);
  }

  private static boolean hasSeveralValues(List<String> values) {
    return values.size() > 1 && values.stream().distinct().count() > 1;
  }
}
