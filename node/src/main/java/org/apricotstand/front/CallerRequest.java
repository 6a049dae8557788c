package org.apricotstand.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers all headers
 * @param body whole body, possibly empty
 * @param caller IP address of the caller
 * @param arrivedMs when its first byte was read, monotonic
 */
public record CallerRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    String caller,
    long arrivedMs) {}
