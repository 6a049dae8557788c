package org.apricotstand.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Removes the headers that apply to a single connection and must not be forwarded: the hop-by-hop
 * headers of HTTP, and those that describe the transfer on that connection.
 */
public final class HopByHopHeaders {

  private static final Set<String> NAMES =
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

  private HopByHopHeaders() {}

  /** Returns a copy without the hop-by-hop headers; the other header lines stay as they are. */
  public static HttpHeaders strip(HttpHeaders headers) {
    return strip(headers, Set.of());
  }

  /**
   * Returns a copy without the hop-by-hop headers and without the given ones.
   *
   * @param removed names of further headers to remove, in lower case
   */
  public static HttpHeaders strip(HttpHeaders headers, Set<String> removed) {
    Set<String> connectionOptions =
        headers.getAll(HttpHeaderNames.CONNECTION).stream()
            .flatMap(value -> Arrays.stream(value.split(",")))
            .map(option -> option.trim().toLowerCase(Locale.ROOT))
            .collect(Collectors.toSet());
    HttpHeaders forwarded = new DefaultHttpHeaders();
    for (Map.Entry<String, String> header : headers) {
      String lowerCaseName = header.getKey().toLowerCase(Locale.ROOT);
      if (!NAMES.contains(lowerCaseName)
          && !connectionOptions.contains(lowerCaseName)
          && !removed.contains(lowerCaseName)) {
        forwarded.add(header.getKey(), header.getValue());
      }
    }
    return forwarded;
  }
}
