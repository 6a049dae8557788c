package org.apricotstand.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers all headers
 * @param body complete body, may be empty
 * @param acceptsChunks whether the caller understands a body in chunks, as of HTTP/1.1
 * @param caller IP address of the caller
 * @param arrivedMs monotonic time at which its first byte was read, in milliseconds
 */
public record CallerRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    boolean acceptsChunks,
    String caller,
    long arrivedMs) {}
