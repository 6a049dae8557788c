package org.apricotstand.front;

import java.nio.charset.StandardCharsets;

/** Bodies of this system's own failures. */
final class ErrorBody {

  private ErrorBody() {}

  /** Returns a JSON object with the code, which must be a plain word. */
  static byte[] of(String code) {
    return ("{\"error\":\"" + code + "\"}").getBytes(StandardCharsets.UTF_8);
  }
}
