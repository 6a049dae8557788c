package org.apricotstand.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Selects the headers that pass through; those of a single connection do not. */
public final class EndToEnd {

  private static final Set<String> PER_CONNECTION =
      Set.of(
          "connection",
          "content-length",
          "expect",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private EndToEnd() {}

  /** Returns a copy without the headers of one connection, each line kept as it was. */
  public static HttpHeaders of(HttpHeaders headers) {
    return without(headers, Set.of());
  }

  /**
   * Returns a copy without the headers of one connection and without further ones.
   *
   * @param removed names in lower case
   */
  public static HttpHeaders without(HttpHeaders headers, Set<String> removed) {
    Set<String> named =
        headers.getAll(HttpHeaderNames.CONNECTION).stream()
            .flatMap(value -> Arrays.stream(value.split(",")))
            .map(token -> token.trim().toLowerCase(Locale.ROOT))
            .collect(Collectors.toSet());
    HttpHeaders passed = new DefaultHttpHeaders();
    for (Map.Entry<String, String> header : headers) {
      String lower = header.getKey().toLowerCase(Locale.ROOT);
      if (!PER_CONNECTION.contains(lower) && !named.contains(lower) && !removed.contains(lower)) {
        passed.add(header.getKey(), header.getValue());
      }
    }
    return passed;
  }
}
