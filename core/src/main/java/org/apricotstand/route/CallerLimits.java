package org.apricotstand.route;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMs longest time in which a head arrives
 * @param idleTimeoutMs longest time a connection stays open without a request
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
