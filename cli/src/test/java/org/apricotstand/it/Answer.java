package org.apricotstand.it;

import java.util.Locale;
import java.util.Map;

/**
 * Answer to one request, as the caller received it.
 *
 * @param status HTTP status, or 0 if no response head arrived
 * @param headers response headers; names are in lower case
 * @param body part of the body that arrived, or the error message if no response head arrived
 * @param isComplete whether the body arrived in full according to its HTTP framing
 */
public record Answer(int status, Map<String, String> headers, String body, boolean isComplete) {

  /** Returns the value of a header, or null if the answer has none of that name. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }
}
