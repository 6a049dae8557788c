package org.apricotstand.upstream;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to a target.
 *
 * @param id identifier that the target echoes; null when the caller sent none
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param headers all headers
 * @param body complete body, may be empty
 */
public record TargetRequest(
    String id, HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

  private static final byte[] NO_BODY = {};

  /** Returns what tells the request from others, without its headers and its body. */
  TargetRequest withoutContent() {
    return new TargetRequest(id, method, uri, EmptyHttpHeaders.INSTANCE, NO_BODY);
  }
}
