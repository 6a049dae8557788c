package org.apricotstand.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;

/** Reads from the {@code Keep-Alive} header how long a target keeps an idle connection open. */
final class KeepAlive {

  private static final long MS_PER_S = 1_000;
  // The target's timer started earlier, and the next request needs time to reach the target.
  private static final long MARGIN_MS = 500;
  private static final long DEFAULT_TIMEOUT_MS = 60_000;

  private KeepAlive() {}

  /** Returns how long the connection may be used from now on, in milliseconds. */
  static long timeoutMs(HttpHeaders headers) {
    String value = headers.get("keep-alive");
    if (value == null) {
      return DEFAULT_TIMEOUT_MS;
    }
    return Arrays.stream(value.split(","))
        .map(String::trim)
        .filter(part -> part.startsWith("timeout="))
        .map(part -> part.substring("timeout=".length()))
        .filter(digits -> digits.matches("\\d{1,6}"))
        .mapToLong(digits -> Math.max(0, Long.parseLong(digits) * MS_PER_S - MARGIN_MS))
        .findFirst()
        .orElse(DEFAULT_TIMEOUT_MS);
  }
}
