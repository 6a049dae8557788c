package org.apricotstand.bench;

import java.util.List;
import org.apricotstand.standin.engine.BatchStatistics;
import org.apricotstand.standin.engine.EngineEvent;
import org.apricotstand.standin.service.ServiceEvent;

/**
 * Everything the judge decides by.
 *
 * @param sent workload and what the callers saw
 * @param engineEvents events of all engines
 * @param batches batch statistics of all engines
 * @param serviceEvents runs of the plain service
 */
record Evidence(
    Driver.Sent sent,
    List<EngineEvent> engineEvents,
    List<BatchStatistics> batches,
    List<ServiceEvent> serviceEvents) {}
