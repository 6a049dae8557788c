package org.apricotstand.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/** Selects the headers that pass through; those of a single connection do not. */
final class EndToEndHeaders {

  /** Headers of one connection, and those that each side sets for itself. */
  private static final Set<String> NOT_PASSED =
      Set.of(
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private EndToEndHeaders() {}

  /** Returns the headers to pass; several values of a name are joined as HTTP allows. */
  static Map<String, String> of(HttpHeaders headers) {
    Set<String> named = new TreeSet<>();
    headers.getAll("connection").stream().flatMap(EndToEndHeaders::tokens).forEach(named::add);
    Map<String, String> passed = new LinkedHashMap<>();
    for (String name : headers.names()) {
      String lower = name.toLowerCase(Locale.ROOT);
      if (!NOT_PASSED.contains(lower) && !named.contains(lower) && !passed.containsKey(lower)) {
        List<String> values = headers.getAll(name);
        passed.put(lower, String.join(lower.equals("cookie") ? "; " : ", ", values));
      }
    }
    return passed;
  }

  private static Stream<String> tokens(String value) {
    return Arrays.stream(value.split(","))
        .map(token -> token.trim().toLowerCase(Locale.ROOT))
        .filter(token -> !token.isEmpty());
  }
}
