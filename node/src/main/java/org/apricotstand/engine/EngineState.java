package org.apricotstand.engine;

import java.util.List;

/**
 * State report of an engine; it lags behind the engine.
 *
 * @param incarnation number that is new at every start
 * @param slots number of adapter slots
 * @param maxBatch sequences that run at once
 * @param running sequences that run now
 * @param waiting sequences that wait for a place in the batch
 * @param resident adapter versions in slots
 */
public record EngineState(
    long incarnation, int slots, int maxBatch, int running, int waiting, List<String> resident) {}
