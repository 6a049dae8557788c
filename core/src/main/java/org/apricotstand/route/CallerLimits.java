package org.apricotstand.route;

/**
 * Limits for the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMs time within which all headers of a request must arrive
 * @param idleTimeoutMs time after which a connection without a request is closed
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
