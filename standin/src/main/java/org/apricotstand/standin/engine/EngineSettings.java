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
 * @param behavior further properties
 */
public record EngineSettings(
    String name,
    String address,
    String platformUrl,
    int slots,
    int maxBatch,
    long stepMs,
    int tokens,
    boolean enforceFencing,
    Behavior behavior) {

  /** Settings with the usual further properties. */
  public EngineSettings(
      String name,
      String address,
      String platformUrl,
      int slots,
      int maxBatch,
      long stepMs,
      int tokens,
      boolean enforceFencing) {
    this(
        name,
        address,
        platformUrl,
        slots,
        maxBatch,
        stepMs,
        tokens,
        enforceFencing,
        Behavior.DEFAULT);
  }

  /**
   * Further properties of an engine.
   *
   * @param prefillBlocksPerStep prompt blocks that one step reads for a sequence without giving a
   *     token, unless they are in the prefix cache
   * @param cacheBlocks prompt blocks that the prefix cache holds
   * @param reportLagMs age of the state that {@code GET /v1/state} reports
   * @param cacheEventLagMs age that a cache event has before it is published
   * @param cacheEventLoss fraction of cache events that are never published
   * @param resumeMs how long a broken or finished stream can be resumed
   * @param coldStartMs time from a crash to the start of the next incarnation
   * @param crashMarker text whose presence in a prompt crashes the engine, or empty
   * @param seed seed of the random numbers
   */
  public record Behavior(
      int prefillBlocksPerStep,
      int cacheBlocks,
      long reportLagMs,
      long cacheEventLagMs,
      double cacheEventLoss,
      long resumeMs,
      long coldStartMs,
      String crashMarker,
      long seed) {

    /** Used unless a test or an experiment needs another one. */
    public static final Behavior DEFAULT =
        new Behavior(32, 4_096, 0, 1_000, 0.05, 2_000, 500, "", 1);
  }
}
