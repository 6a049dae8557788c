package org.apricotstand.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An outgoing HTTP request.
 *
 * @param method HTTP method
 * @param url absolute URL
 * @param headers headers
 * @param body body, possibly empty
 * @param deadlineMs time by which the answer must be complete, in milliseconds of the monotonic
 *     clock
 * @param connectionUse which connection may be used; a new one for calls that must not be sent on a
 *     connection that the other side has just closed
 */
public record HttpCall(
    String method,
    String url,
    Map<String, String> headers,
    byte[] body,
    long deadlineMs,
    ConnectionUse connectionUse) {

  private static final byte[] NO_BODY = new byte[0];

  /** Returns a GET call. */
  public static HttpCall get(String url, long deadlineMs) {
    return new HttpCall("GET", url, Map.of(), NO_BODY, deadlineMs, ConnectionUse.SHARED);
  }

  /** Returns a call with a JSON body. */
  public static HttpCall json(String method, String url, byte[] body, long deadlineMs) {
    Map<String, String> headers = Map.of("content-type", "application/json");
    return new HttpCall(method, url, headers, body, deadlineMs, ConnectionUse.SHARED);
  }

  /** Returns a copy of this call with an additional header. */
  public HttpCall withHeader(String name, String value) {
    Map<String, String> newHeaders = new LinkedHashMap<>(headers);
    newHeaders.put(name, value);
    return new HttpCall(method, url, newHeaders, body, deadlineMs, connectionUse);
  }

  /** Returns a copy of this call that is sent on a new connection. */
  public HttpCall withNewConnection() {
    return new HttpCall(method, url, headers, body, deadlineMs, ConnectionUse.OWN);
  }

  /** Returns a copy of this call that shares connections only with others of this kind. */
  public HttpCall asCommand() {
    return new HttpCall(method, url, headers, body, deadlineMs, ConnectionUse.SHARED_BY_COMMANDS);
  }

  /** Returns a copy of this call whose connection is not used again after a refusal. */
  public HttpCall withoutReuseAfterRefusal() {
    return new HttpCall(method, url, headers, body, deadlineMs, ConnectionUse.SHARED_UNTIL_REFUSAL);
  }
}
