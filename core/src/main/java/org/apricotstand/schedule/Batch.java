package org.apricotstand.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestId;

/** Requests that were dispatched to the engine and have not ended. */
final class Batch {

  /**
   * A dispatched request.
   *
   * @param entry its entry in the queue
   * @param slotOrder order that had last changed its slot at the dispatch
   * @param dispatchedMs when it was dispatched, monotonic
   */
  record Running(WaitingQueue.Entry entry, long slotOrder, long dispatchedMs) {}

  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<AdapterVersion, Integer> uses = new HashMap<>();
  // Requests of an earlier incarnation whose ending was not confirmed; one may still reach the
  // engine after its restart, so their adapters count as in use.
  private final Map<RequestId, AdapterVersion> unconfirmed = new HashMap<>();
  private final Set<RequestId> canceled = new HashSet<>();
  private int maxSize;

  void setMaxSize(int size) {
    maxSize = size;
  }

  int size() {
    return running.size();
  }

  int unconfirmedSize() {
    return unconfirmed.size();
  }

  int freePlaces() {
    return Math.max(0, maxSize - running.size());
  }

  /** Returns whether a request runs that allows no other one in the batch. */
  boolean isReserved() {
    return running.size() == 1 && running.values().iterator().next().entry().request().alone();
  }

  boolean isInUse(AdapterVersion adapterVersion) {
    return uses.containsKey(adapterVersion);
  }

  Set<AdapterVersion> inUse() {
    return new HashSet<>(uses.keySet());
  }

  boolean contains(RequestId id) {
    return running.containsKey(id) || unconfirmed.containsKey(id);
  }

  boolean isRunning(RequestId id) {
    return running.containsKey(id);
  }

  void add(WaitingQueue.Entry entry, long slotOrder, long nowMs) {
    running.put(entry.request().id(), new Running(entry, slotOrder, nowMs));
    uses.merge(entry.request().adapterVersion(), 1, Integer::sum);
  }

  /** Notes that nobody waits for a running request; returns false when it doesn't run. */
  boolean cancel(RequestId id) {
    return running.containsKey(id) && canceled.add(id);
  }

  boolean isCanceled(RequestId id) {
    return canceled.contains(id);
  }

  /** Removes an ended request; returns null when it doesn't run in this incarnation. */
  Running remove(RequestId id) {
    canceled.remove(id);
    Running ended = running.remove(id);
    AdapterVersion name =
        ended == null ? unconfirmed.remove(id) : ended.entry().request().adapterVersion();
    if (name != null) {
      uses.computeIfPresent(name, (key, count) -> count == 1 ? null : count - 1);
    }
    return ended;
  }

  /** Takes all requests out of the batch; their adapters stay in use until they are removed. */
  List<ScheduledRequest> abandonAll() {
    List<ScheduledRequest> abandoned =
        running.values().stream().map(entry -> entry.entry().request()).toList();
    abandoned.forEach(request -> unconfirmed.put(request.id(), request.adapterVersion()));
    running.clear();
    canceled.clear();
    return abandoned;
  }
}
