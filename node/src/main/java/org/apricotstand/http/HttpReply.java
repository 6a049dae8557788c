package org.apricotstand.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/** The complete answer to an {@link HttpCall}. */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

  /** Returns the body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
