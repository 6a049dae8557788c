package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.residency.AdapterKey;

/**
 * Counts the requests of this instance at each target and for each adapter. The traffic thread
 * writes, the control thread reads.
 */
public final class LocalLoadTracker {

  private final Map<String, TargetLoad> loadsByTarget = new ConcurrentHashMap<>();
  private final Map<AdapterAtTarget, Integer> requestsByAdapter = new ConcurrentHashMap<>();
  private final Map<AdapterKey, Integer> arrivals = new ConcurrentHashMap<>();

  private final Map<String, AnswerTimes> answerTimes = new ConcurrentHashMap<>();
  private final Map<String, Long> offeredByTenant = new ConcurrentHashMap<>();
  private final Map<String, Long> admittedByTenant = new ConcurrentHashMap<>();

  private volatile long settledLoans;

  private record AdapterAtTarget(String target, AdapterKey key) {}

  /** Counts a new request for an adapter. */
  public void recordArrival(AdapterKey key) {
    arrivals.merge(key, 1, Integer::sum);
  }

  /**
   * Counts a request that was sent to a target.
   *
   * @param key adapter of the request; null for plain services
   */
  public void recordSent(String target, AdapterKey key) {
    loadsByTarget.merge(target, new TargetLoad(0, 1), TargetLoad::plus);
    if (key != null) {
      requestsByAdapter.merge(new AdapterAtTarget(target, key), 1, Integer::sum);
    }
  }

  /** Counts a request as started after the first byte of its answer arrived. */
  public void recordFirstByte(String target) {
    loadsByTarget.merge(target, new TargetLoad(1, -1), TargetLoad::plus);
  }

  /**
   * Removes a request that ended from the counts.
   *
   * @param key adapter of the request; null for plain services
   * @param hadStarted whether the first byte of the answer had arrived
   */
  public void recordEnd(String target, AdapterKey key, boolean hadStarted) {
    TargetLoad decrement = hadStarted ? new TargetLoad(-1, 0) : new TargetLoad(0, -1);
    loadsByTarget.computeIfPresent(target, (id, load) -> nullIfZero(load.plus(decrement)));
    if (key != null) {
      requestsByAdapter.computeIfPresent(
          new AdapterAtTarget(target, key), (id, count) -> count <= 1 ? null : count - 1);
    }
  }

  /** Returns the requests of this instance at a target. */
  public TargetLoad load(String target) {
    return loadsByTarget.getOrDefault(target, TargetLoad.NONE);
  }

  /** Returns the requests of this instance at all targets, by target id. */
  public Map<String, TargetLoad> loadsByTarget() {
    return new HashMap<>(loadsByTarget);
  }

  /** Returns the adapters that requests of this instance use, by target id. */
  public Map<String, Set<String>> adaptersInUse() {
    Map<String, Set<String>> inUse = new TreeMap<>();
    requestsByAdapter
        .keySet()
        .forEach(
            entry ->
                inUse
                    .computeIfAbsent(entry.target, id -> new TreeSet<>())
                    .add(entry.key.toString()));
    return inUse;
  }

  /** Counts an answer of a target and its time, without what the load of the target explains. */
  public void recordAnswerTime(String target, long timeMs) {
    answerTimes.merge(target, new AnswerTimes(1, timeMs), AnswerTimes::plus);
  }

  /** Returns the times of answers by target since the last call. */
  public Map<String, AnswerTimes> takeAnswerTimes() {
    return takeAll(answerTimes);
  }

  /** Counts the cost of a request of a tenant with a limit, whether it is admitted or not. */
  public void recordOffered(String tenant, long cost) {
    offeredByTenant.merge(tenant, cost, Long::sum);
  }

  /** Counts the cost of a request that was admitted; negative for one that gave it back. */
  public void recordAdmitted(String tenant, long cost) {
    admittedByTenant.merge(tenant, cost, Long::sum);
  }

  /**
   * Records the number up to which no request waits for credit of the relay; called after the use
   * of the credit was counted.
   */
  public void setSettledLoans(long number) {
    settledLoans = number;
  }

  /**
   * Returns the number up to which no request waits for credit; what is taken from this tracker
   * afterwards includes the use of those loans.
   */
  public long settledLoans() {
    return settledLoans;
  }

  /** Returns the number of new requests by adapter since the last call. */
  public Map<AdapterKey, Integer> takeArrivals() {
    return takeAll(arrivals);
  }

  /** Returns the cost of all requests by tenant since the last call. */
  public Map<String, Long> takeOffered() {
    return takeAll(offeredByTenant);
  }

  /** Returns the cost of the admitted requests by tenant since the last call. */
  public Map<String, Long> takeAdmitted() {
    return takeAll(admittedByTenant);
  }

  private static <K, V> Map<K, V> takeAll(Map<K, V> counts) {
    Map<K, V> taken = new HashMap<>();
    for (K key : counts.keySet()) {
      V count = counts.remove(key);
      if (count != null) {
        taken.put(key, count);
      }
    }
    return taken;
  }

  private static TargetLoad nullIfZero(TargetLoad load) {
    return load.total() <= 0 ? null : load;
  }
}
