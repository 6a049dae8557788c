package org.apricotstand.port;

import java.net.InetSocketAddress;

/**
 * Settings of one instance.
 *
 * @param name name of the instance; the same after a restart
 * @param domain failure domain
 * @param callerAddress where callers connect
 * @param readyAddress where readiness is asked
 * @param peerAddress where other instances connect
 * @param metricsAddress where metrics are read
 * @param graceMs time from the request to stop until the process is killed
 * @param commandPauseMs least time between commands of two owners to one engine
 * @param retryRatio repeats that all instances may send for each request
 * @param retryAllowance repeats of all instances beyond the ratio
 * @param retryWindowMs window of the retry limit
 */
public record FrontSettings(
    String name,
    String domain,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    long graceMs,
    long commandPauseMs,
    double retryRatio,
    double retryAllowance,
    long retryWindowMs) {}
