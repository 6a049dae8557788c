package org.apricotstand.engine;

import java.util.List;

/**
 * State that an engine reported. The engine may have changed since.
 *
 * @param incarnation number that differs for each start of the engine
 * @param slots number of adapter slots
 * @param maxBatch maximum number of sequences that run at once
 * @param running number of sequences that run
 * @param waiting number of sequences that wait for a place in the batch
 * @param resident adapter versions in slots
 */
public record EngineState(
    long incarnation, int slots, int maxBatch, int running, int waiting, List<String> resident) {}
