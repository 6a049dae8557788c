package org.apricotstand.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.overlay.Overlay;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerMessage;

/**
 * What the relays of the fleet publish: which instances are alive, and the requests of all of them
 * at each target. A relay that publishes nothing new does not count. Not thread-safe; used on the
 * control thread only.
 */
final class RelayedState {

  /**
   * Time after which a relay of other instances is dropped. Its members notice its silence first
   * and then report to another relay, so that they are not taken for dead with it.
   */
  static final long RELAY_TIMEOUT_MS = 2 * Overlay.SILENCE_TIMEOUT_MS;

  private final Map<String, FleetState.RelayedLoad> loads = new HashMap<>();
  private final Map<String, List<String>> instancesByRelay = new HashMap<>();
  private final Map<String, Long> silentFromMs = new HashMap<>();

  /** Records a new version of the load at a relay, which shows that the relay is alive. */
  void put(FleetState.RelayedLoad load, long nowMs) {
    loads.put(load.relay(), load);
    boolean hasMembers = instancesOf(load.relay()).size() > 1;
    long timeoutMs = hasMembers ? RELAY_TIMEOUT_MS : Overlay.SILENCE_TIMEOUT_MS;
    silentFromMs.put(load.relay(), nowMs + timeoutMs);
  }

  void put(FleetState.RelayedInstances relayed) {
    instancesByRelay.put(relayed.relay(), List.copyOf(relayed.instances()));
  }

  /** Drops a silent relay. Its list of instances counts again as soon as it is heard again. */
  void remove(String relay) {
    loads.remove(relay);
    silentFromMs.remove(relay);
  }

  /** Gives all relays a longer time, because this instance was delayed itself. */
  void extend(long delayMs) {
    silentFromMs.replaceAll((relay, atMs) -> atMs + delayMs);
  }

  /** Returns the relays that turned silent. */
  List<String> silentRelays(long nowMs) {
    return DueKeys.find(silentFromMs, nowMs);
  }

  List<String> instancesOf(String relay) {
    return instancesByRelay.getOrDefault(relay, List.of());
  }

  /** Returns the instances of which some relay that is alive hears. */
  Set<String> liveInstances() {
    Set<String> live = new HashSet<>();
    silentFromMs.keySet().forEach(relay -> live.addAll(instancesOf(relay)));
    return live;
  }

  /** Returns the requests of all instances at each target. */
  Map<String, TargetLoad> loads() {
    Map<String, TargetLoad> sums = new HashMap<>();
    Collection<FleetState.RelayedLoad> all = loads.values();
    all.forEach(load -> add(sums, load.started(), load.waiting()));
    return sums;
  }

  /** Adds counts of requests to the loads of their targets. */
  static void add(
      Map<String, TargetLoad> sums, Map<String, Integer> started, Map<String, Integer> waiting) {
    started.forEach((id, count) -> sums.merge(id, new TargetLoad(count, 0), TargetLoad::plus));
    waiting.forEach((id, count) -> sums.merge(id, new TargetLoad(0, count), TargetLoad::plus));
  }

  /** Removes the requests of a report that are included in the loads of the targets. */
  static void subtract(Map<String, TargetLoad> loads, PeerMessage.MemberReport report) {
    Map<String, TargetLoad> own = new HashMap<>();
    add(own, report.started(), report.waiting());
    own.forEach(
        (id, load) ->
            loads.computeIfPresent(
                id,
                (target, total) ->
                    new TargetLoad(
                        Math.max(0, total.started() - load.started()),
                        Math.max(0, total.waiting() - load.waiting()))));
  }
}
