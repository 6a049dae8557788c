package org.apricotstand.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestId;

/** Requests that were dispatched to the engine and whose end has not been confirmed. */
final class Batch {

  /**
   * A dispatched request.
   *
   * @param entry queue entry of the request
   * @param slotCommandId command that had last changed the slot of its adapter at the dispatch
   * @param dispatchedMs monotonic time of the dispatch
   */
  record RunningRequest(WaitingQueue.Entry entry, long slotCommandId, long dispatchedMs) {}

  private final Map<RequestId, RunningRequest> running = new LinkedHashMap<>();
  private final Map<AdapterVersion, Integer> useCounts = new HashMap<>();
  // Requests of an earlier incarnation whose end was not confirmed. They may still reach the engine
  // after its restart, so their adapters count as in use.
  private final Map<RequestId, AdapterVersion> unconfirmedRequests = new HashMap<>();
  private final Set<RequestId> canceledIds = new HashSet<>();
  private int maxSize;

  void setMaxSize(int size) {
    maxSize = size;
  }

  int size() {
    return running.size();
  }

  int unconfirmedCount() {
    return unconfirmedRequests.size();
  }

  int remainingCapacity() {
    return Math.max(0, maxSize - running.size());
  }

  /** Returns whether the batch contains a request that has to run alone. */
  boolean isExclusive() {
    return running.size() == 1 && running.values().iterator().next().entry().request().alone();
  }

  boolean isInUse(AdapterVersion adapterVersion) {
    return useCounts.containsKey(adapterVersion);
  }

  Set<AdapterVersion> adaptersInUse() {
    return new HashSet<>(useCounts.keySet());
  }

  boolean contains(RequestId id) {
    return running.containsKey(id) || unconfirmedRequests.containsKey(id);
  }

  boolean isRunning(RequestId id) {
    return running.containsKey(id);
  }

  void add(WaitingQueue.Entry entry, long slotCommandId, long nowMs) {
    running.put(entry.request().id(), new RunningRequest(entry, slotCommandId, nowMs));
    useCounts.merge(entry.request().adapterVersion(), 1, Integer::sum);
  }

  /**
   * Marks a running request as canceled by its caller; returns false if it doesn't run or is marked
   * already.
   */
  boolean cancel(RequestId id) {
    return running.containsKey(id) && canceledIds.add(id);
  }

  boolean isCanceled(RequestId id) {
    return canceledIds.contains(id);
  }

  /** Removes an ended request; returns null if it doesn't run in the current incarnation. */
  RunningRequest remove(RequestId id) {
    canceledIds.remove(id);
    RunningRequest ended = running.remove(id);
    AdapterVersion adapterVersion =
        ended == null ? unconfirmedRequests.remove(id) : ended.entry().request().adapterVersion();
    if (adapterVersion != null) {
      useCounts.computeIfPresent(adapterVersion, (key, count) -> count == 1 ? null : count - 1);
    }
    return ended;
  }

  /**
   * Empties the batch after a restart of the engine and returns its requests. Their adapters stay
   * in use until {@link #remove} confirms the end of each request.
   */
  List<ScheduledRequest> abandonAll() {
    List<ScheduledRequest> abandoned =
        running.values().stream().map(request -> request.entry().request()).toList();
    abandoned.forEach(request -> unconfirmedRequests.put(request.id(), request.adapterVersion()));
    running.clear();
    canceledIds.clear();
    return abandoned;
  }
}
