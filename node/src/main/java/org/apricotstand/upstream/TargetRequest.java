package org.apricotstand.upstream;

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
    String id, HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}
