package org.apricotstand.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request to another system.
 *
 * @param method HTTP method
 * @param url absolute URL
 * @param headers headers
 * @param body body, possibly empty
 * @param deadlineMs when the whole answer is due, monotonic
 * @param reuseConnection whether a pooled connection may carry it; false for calls that must not
 *     meet a connection that the other side has just closed
 */
public record HttpCall(
    String method,
    String url,
    Map<String, String> headers,
    byte[] body,
    long deadlineMs,
    boolean reuseConnection) {

  private static final byte[] NO_BODY = new byte[0];

  /** Returns a GET call. */
  public static HttpCall get(String url, long deadlineMs) {
    return new HttpCall("GET", url, Map.of(), NO_BODY, deadlineMs, true);
  }

  /** Returns a call with a JSON body. */
  public static HttpCall json(String method, String url, byte[] body, long deadlineMs) {
    Map<String, String> headers = Map.of("content-type", "application/json");
    return new HttpCall(method, url, headers, body, deadlineMs, true);
  }

  /** Returns this call with a further header. */
  public HttpCall with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new HttpCall(method, url, more, body, deadlineMs, reuseConnection);
  }

  /** Returns this call on a connection of its own. */
  public HttpCall onFreshConnection() {
    return new HttpCall(method, url, headers, body, deadlineMs, false);
  }
}
