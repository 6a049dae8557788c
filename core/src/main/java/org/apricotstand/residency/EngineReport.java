package org.apricotstand.residency;

import java.util.Map;
import java.util.Set;

/**
 * What an engine says of itself.
 *
 * @param sequence commands accepted since its start
 * @param busy whether a model command is in progress
 * @param resident versions of the models and adapters that it holds
 * @param arriving adapters on their way to it
 */
public record EngineReport(
    long sequence, boolean busy, Map<AdapterKey, Long> resident, Set<AdapterKey> arriving) {

  /** Copies the collections. */
  public EngineReport {
    resident = Map.copyOf(resident);
    arriving = Set.copyOf(arriving);
  }
}
