package org.apricotstand.standin.engine;

/**
 * Settings of a stand-in engine.
 *
 * @param name name of the engine
 * @param address IP address and port to listen on; port 0 takes a free one
 * @param platformUrl URL of the platform that holds the weights
 * @param slots number of adapter slots
 * @param maxBatch maximum number of sequences that run at the same time
 * @param stepMs duration of one decoding step in milliseconds
 * @param tokens number of tokens in an answer if the request does not set it
 * @param enforceFencing whether requests and commands with a stale fencing token are refused
 * @param behavior further settings that have defaults
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

  /** Creates settings with {@link Behavior#DEFAULT}. */
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
   * Further settings of an engine that have defaults.
   *
   * @param prefillBlocksPerStep number of uncached prompt blocks that one prefill step of a
   *     sequence computes; a prefill step generates no token
   * @param cacheBlocks maximum number of prompt blocks in the prefix cache
   * @param reportLagMs age in milliseconds of the state that {@code GET /v1/state} reports
   * @param cacheEventLagMs time in milliseconds before a cache event is published
   * @param cacheEventLoss fraction of cache events that are never published
   * @param resumeMs time in milliseconds in which a broken or finished stream can be resumed
   * @param coldStartMs time in milliseconds from a crash to the start of the next incarnation
   * @param crashMarker text that crashes the engine when a prompt contains it, or empty for none
   * @param seed seed of the random loss of cache events
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

    /** Default settings. */
    public static final Behavior DEFAULT =
        new Behavior(32, 4_096, 0, 1_000, 0.05, 2_000, 500, "", 1);
  }
}
