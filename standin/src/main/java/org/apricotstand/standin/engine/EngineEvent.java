package org.apricotstand.standin.engine;

/**
 * An event at an engine, recorded for the evaluation of an experiment.
 *
 * @param atMs monotonic time in milliseconds
 * @param kind what happened
 * @param engine name of the engine
 * @param incarnation incarnation of the engine
 * @param requestId identifier of the request, or empty
 * @param attempt number of the attempt, or 0 if the event belongs to no request
 * @param user the {@code user} field of the request body, which identifies the request of a caller
 *     in the evaluation, or empty
 * @param adapterVersion adapter version of the request or load, or empty
 * @param inUse number of sequences that ran or waited for the adapter version at that time; for a
 *     crash, of all sequences
 */
public record EngineEvent(
    long atMs,
    Kind kind,
    String engine,
    long incarnation,
    String requestId,
    int attempt,
    String user,
    String adapterVersion,
    int inUse) {

  /** Kinds of events. */
  public enum Kind {
    /** A process started with empty slots. */
    COLD_START,
    /** The process ended with all its sequences. */
    CRASH,
    /** A load was requested and started. */
    LOAD_STARTED,
    /** An adapter version became resident. */
    LOADED,
    /** A load failed. */
    LOAD_FAILED,
    /** An adapter version was removed from its slot. */
    UNLOADED,
    /** A request was accepted; from then on it no longer counts as not run. */
    ACCEPTED,
    /** A sequence joined the batch. */
    STARTED,
    /** A sequence generated its last token. */
    FINISHED,
    /** A sequence was canceled before its last token. */
    CANCELED
  }
}
