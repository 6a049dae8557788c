package org.apricotstand.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A received request with its whole body.
 *
 * @param method method in upper case
 * @param path path without the query
 * @param query query without the question mark, or empty
 * @param headers headers with case-insensitive names
 * @param body body, possibly empty
 * @param remoteAddress IP address of the caller, or {@code unknown}
 */
public record HttpRequest(
    String method,
    String path,
    String query,
    HttpHeaders headers,
    byte[] body,
    String remoteAddress) {

  /** Returns the first value of a header, or null. */
  public String header(String name) {
    return headers.get(name);
  }

  /** Returns the body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
