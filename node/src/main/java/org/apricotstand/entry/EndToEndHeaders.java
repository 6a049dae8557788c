package org.apricotstand.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apricotstand.front.HopByHopHeaders;

/** The headers that pass through, as a map with names in lower case. */
final class EndToEndHeaders {

  /** Each side sets its own host. */
  private static final Set<String> NOT_PASSED = Set.of("host");

  private EndToEndHeaders() {}

  /** Returns the headers to pass; several values of a name are joined as HTTP allows. */
  static Map<String, String> of(HttpHeaders headers) {
    HttpHeaders passing = HopByHopHeaders.strip(headers, NOT_PASSED);
    Map<String, String> passed = new LinkedHashMap<>();
    for (String name : passing.names()) {
      String lower = name.toLowerCase(Locale.ROOT);
      List<String> values = passing.getAll(name);
      passed.putIfAbsent(lower, String.join(lower.equals("cookie") ? "; " : ", ", values));
    }
    return passed;
  }
}
