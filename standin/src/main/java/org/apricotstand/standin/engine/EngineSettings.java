package org.apricotstand.standin.engine;

/**
 * Settings of a stand-in engine.
 *
 * @param name name of the engine
 * @param address IP number and port to listen on; port 0 takes a free one
 * @param platformUrl URL of the platform that holds the weights
 * @param slots adapter slots
 * @param maxBatch sequences that run at once
 * @param stepMs time of one decoding step
 * @param tokens tokens of an answer
 * @param enforceFencing whether commands with an old fencing number are refused
 */
public record EngineSettings(
    String name,
    String address,
    String platformUrl,
    int slots,
    int maxBatch,
    long stepMs,
    int tokens,
    boolean enforceFencing) {}
