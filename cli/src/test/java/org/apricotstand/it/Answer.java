package org.apricotstand.it;

import java.util.Locale;
import java.util.Map;

/**
 * What a caller saw of one request.
 *
 * @param status HTTP status, or 0 when there was none
 * @param headers headers with names in lower case
 * @param body body as far as it arrived
 * @param whole whether the answer ended as HTTP prescribes
 */
public record Answer(int status, Map<String, String> headers, String body, boolean whole) {

  /** Returns a header, or null. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }
}
