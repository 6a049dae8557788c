package org.apricotstand.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apricotstand.front.HopByHopHeaders;

/** Selects the headers of a request or answer that are forwarded, as opposed to hop-by-hop ones. */
final class EndToEndHeaders {

  /** The host header names the receiver, so each connection sets its own. */
  private static final Set<String> EXCLUDED_HEADERS = Set.of("host");

  private EndToEndHeaders() {}

  /**
   * Returns the headers to forward, with names in lower case. Several values of one name are joined
   * with a comma, those of {@code cookie} with a semicolon.
   */
  static Map<String, String> of(HttpHeaders headers) {
    HttpHeaders endToEnd = HopByHopHeaders.strip(headers, EXCLUDED_HEADERS);
    Map<String, String> joined = new LinkedHashMap<>();
    for (String name : endToEnd.names()) {
      String lower = name.toLowerCase(Locale.ROOT);
      List<String> values = endToEnd.getAll(name);
      joined.putIfAbsent(lower, String.join(lower.equals("cookie") ? "; " : ", ", values));
    }
    return joined;
  }
}
