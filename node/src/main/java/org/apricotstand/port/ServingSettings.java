package org.apricotstand.port;

import java.net.InetSocketAddress;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.tenant.FreshnessBounds;

/**
 * Settings of one instance.
 *
 * @param name name of the instance; does not change over a restart
 * @param domain failure domain
 * @param isNewSystem whether all instances start for the first time
 * @param callerAddress address that accepts the connections of callers
 * @param readyAddress address that serves the readiness check
 * @param peerAddress address that accepts the connections of other instances
 * @param metricsAddress address that serves the metrics
 * @param graceMs time between the stop signal and the kill of the process
 * @param handoverPauseMs minimum time between the commands of two owners to the same engine
 * @param retryRatio retries per request that all instances together may send
 * @param retryAllowance retries in each window that all instances together may send in addition to
 *     the ratio
 * @param retryWindowMs length of the window over which requests and retries are counted
 * @param relayCapacity declared capacity of the machine to relay messages between instances
 * @param answerLimits bounds of what is read of an answer without passing it on
 * @param freshness bounds of the age of the configuration
 * @param memoryLimits bounds of the memory that callers and targets use together
 * @param quotaBounds bound on what all instances together may admit of one tenant
 * @param maxHedgeShare second attempts of late requests that all instances together may send per
 *     request; 0 sends none
 */
public record ServingSettings(
    String name,
    String domain,
    boolean isNewSystem,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    long graceMs,
    long handoverPauseMs,
    double retryRatio,
    double retryAllowance,
    long retryWindowMs,
    int relayCapacity,
    AnswerLimits answerLimits,
    FreshnessBounds freshness,
    MemoryLimits memoryLimits,
    QuotaBounds quotaBounds,
    double maxHedgeShare) {}
