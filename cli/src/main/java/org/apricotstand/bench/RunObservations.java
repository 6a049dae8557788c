package org.apricotstand.bench;

import java.util.List;
import org.apricotstand.standin.engine.BatchStatistics;
import org.apricotstand.standin.engine.EngineEvent;
import org.apricotstand.standin.service.ServiceEvent;

/**
 * Observations from which the metrics of a run are computed.
 *
 * @param sentWorkload workload and the replies that the callers received
 * @param engineEvents events of all engines
 * @param batchStatistics batch statistics of all engines
 * @param serviceEvents runs of requests at the plain service
 */
record RunObservations(
    LoadGenerator.SentWorkload sentWorkload,
    List<EngineEvent> engineEvents,
    List<BatchStatistics> batchStatistics,
    List<ServiceEvent> serviceEvents) {}
