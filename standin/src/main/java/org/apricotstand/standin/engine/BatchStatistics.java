package org.apricotstand.standin.engine;

/**
 * How full the batches of an engine were.
 *
 * @param steps steps with at least one running sequence
 * @param sequenceSteps sum of the running sequences over these steps
 * @param maxBatch sequences that may run at once
 */
public record BatchStatistics(long steps, long sequenceSteps, int maxBatch) {}
