package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apricotstand.peer.FleetState;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;

/** Translates what an engine holds to and from the form in which instances exchange it. */
final class Holdings {

  private Holdings() {}

  static FleetState.EngineHoldings encode(String engine, Residency residency) {
    Map<String, Long> resident = new TreeMap<>();
    residency.resident().forEach((key, version) -> resident.put(key.toString(), version));
    List<String> loading = residency.loading().stream().map(AdapterKey::toString).toList();
    return new FleetState.EngineHoldings(engine, resident, loading, residency.queuedLoads());
  }

  static Residency decode(FleetState.EngineHoldings holdings) {
    Map<AdapterKey, Long> resident = new HashMap<>();
    holdings.resident().forEach((key, version) -> resident.put(AdapterKey.parse(key), version));
    Set<AdapterKey> loading = new HashSet<>();
    holdings.arriving().forEach(key -> loading.add(AdapterKey.parse(key)));
    return new Residency(resident, loading, Set.of(), holdings.queuedLoads());
  }
}
