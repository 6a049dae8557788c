package org.apricotstand.standin.engine;

/**
 * Statistics of the batch sizes of an engine.
 *
 * @param steps number of steps with at least one running sequence
 * @param sequenceSteps number of running sequences, summed over these steps
 * @param maxBatch maximum number of sequences that run at the same time
 */
public record BatchStatistics(long steps, long sequenceSteps, int maxBatch) {}
