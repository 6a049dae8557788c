package org.apricotstand.residency;

import java.util.Map;
import java.util.Set;

/**
 * State of an engine as it reports it.
 *
 * @param sequence number of commands accepted since the engine started
 * @param busy whether a model command is in progress
 * @param resident versions of the loaded models and adapters
 * @param arriving adapters whose load is in progress
 */
public record EngineReport(
    long sequence, boolean busy, Map<AdapterKey, Long> resident, Set<AdapterKey> arriving) {

  /** Creates a report with copies of the collections. */
  public EngineReport {
    resident = Map.copyOf(resident);
    arriving = Set.copyOf(arriving);
  }
}
