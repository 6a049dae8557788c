package org.apricotstand.standin.engine;

/**
 * Something that happened at an engine, as recorded for the judge of an experiment.
 *
 * @param atMs monotonic time
 * @param kind what happened
 * @param engine name of the engine
 * @param incarnation incarnation of the engine
 * @param requestId identifier of the request, or empty
 * @param attempt number of the attempt, or 0
 * @param user the {@code user} field of the request body, by which a judge finds the request of a
 *     caller, or empty
 * @param adapterVersion adapter version concerned, or empty
 * @param inUse sequences that ran or waited on the adapter version at that moment
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
    /** A load was ordered. */
    LOAD_STARTED,
    /** An adapter version became resident. */
    LOADED,
    /** A load failed. */
    LOAD_FAILED,
    /** An adapter version left its slot. */
    UNLOADED,
    /** A request was accepted, which ends the time in which it counts as not run. */
    ACCEPTED,
    /** A sequence joined the batch. */
    STARTED,
    /** A sequence gave its last token. */
    FINISHED,
    /** A sequence was canceled before its last token. */
    CANCELED
  }
}
