package org.apricotstand.schedule;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;

/** Queue of the requests that wait for an engine, grouped by adapter version. */
final class WaitingQueue {

  /**
   * A waiting request.
   *
   * @param request the request that waits
   * @param sequence position in the order of arrival
   * @param requeues number of times that the request was queued again
   */
  record Entry(ScheduledRequest request, long sequence, int requeues) {}

  /** Waiting requests for one adapter version, in the order of the queue. */
  static final class Group {
    private final AdapterVersion adapterVersion;
    private final TreeSet<Entry> entries;

    Group(AdapterVersion adapterVersion, Comparator<Entry> order) {
      this.adapterVersion = adapterVersion;
      this.entries = new TreeSet<>(order);
    }

    AdapterVersion adapterVersion() {
      return adapterVersion;
    }

    Collection<Entry> entries() {
      return entries;
    }

    int size() {
      return entries.size();
    }

    /** Returns the sequence number of the request that arrived first. */
    long firstSequence() {
      return entries.stream().mapToLong(Entry::sequence).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the monotonic arrival time of the request that has waited longest. */
    long earliestArrivalMs() {
      return entries.stream()
          .mapToLong(entry -> entry.request().arrivedMs())
          .min()
          .orElse(Long.MAX_VALUE);
    }
  }

  /** Orders by class, then deadline, then arrival. */
  static final Comparator<Entry> BY_URGENCY =
      Comparator.comparing((Entry entry) -> entry.request().requestClass())
          .thenComparingLong(entry -> entry.request().deadlineMs())
          .thenComparingLong(Entry::sequence);

  /** Orders by arrival. */
  static final Comparator<Entry> BY_ARRIVAL = Comparator.comparingLong(Entry::sequence);

  private final Comparator<Entry> order;
  private final Map<RequestId, Entry> entriesById = new LinkedHashMap<>();
  private final Map<AdapterVersion, Group> groups = new LinkedHashMap<>();
  private final Map<String, Integer> countsByCaller = new HashMap<>();
  // Index for overflowVictim(), so that it need not scan all entries while the queue is full.
  private final Map<RequestClass, Map<String, TreeSet<Entry>>> entriesByClassAndCaller =
      new EnumMap<>(RequestClass.class);
  private long lastSequence;

  WaitingQueue(Comparator<Entry> order) {
    this.order = order;
  }

  int size() {
    return entriesById.size();
  }

  boolean contains(RequestId id) {
    return entriesById.containsKey(id);
  }

  Collection<Group> groups() {
    return groups.values();
  }

  /** Returns the group of an adapter version, or null if no request waits for it. */
  Group group(AdapterVersion adapterVersion) {
    return groups.get(adapterVersion);
  }

  List<Entry> entries() {
    return List.copyOf(entriesById.values());
  }

  void add(ScheduledRequest request) {
    lastSequence++;
    insert(new Entry(request, lastSequence, 0));
  }

  /** Queues a request again that was dispatched but not run, at its former position. */
  void requeue(Entry entry) {
    insert(new Entry(entry.request(), entry.sequence(), entry.requeues() + 1));
  }

  /** Removes a request and returns its entry, or null if it doesn't wait. */
  Entry remove(RequestId id) {
    Entry entry = entriesById.remove(id);
    if (entry != null) {
      AdapterVersion adapterVersion = entry.request().adapterVersion();
      Group group = groups.get(adapterVersion);
      group.entries.remove(entry);
      if (group.entries.isEmpty()) {
        groups.remove(adapterVersion);
      }
      countsByCaller.computeIfPresent(
          entry.request().caller(), (caller, count) -> count == 1 ? null : count - 1);
      removeFromClass(entry);
    }
    return entry;
  }

  /**
   * Returns the request to drop from a full queue: of the lowest class with waiting requests, the
   * latest request of the caller with the most waiting requests of any class.
   */
  Entry overflowVictim() {
    Map<String, TreeSet<Entry>> callers =
        entriesByClassAndCaller.entrySet().stream()
            .max(Map.Entry.comparingByKey())
            .map(Map.Entry::getValue)
            .orElseThrow();
    String largest =
        callers.keySet().stream()
            .max(
                Comparator.comparing((String caller) -> countsByCaller.get(caller))
                    .thenComparing(Comparator.naturalOrder()))
            .orElseThrow();
    return callers.get(largest).last();
  }

  private void removeFromClass(Entry entry) {
    RequestClass requestClass = entry.request().requestClass();
    String caller = entry.request().caller();
    Map<String, TreeSet<Entry>> callers = entriesByClassAndCaller.get(requestClass);
    TreeSet<Entry> entries = callers.get(caller);
    entries.remove(entry);
    if (entries.isEmpty()) {
      callers.remove(caller);
    }
    if (callers.isEmpty()) {
      entriesByClassAndCaller.remove(requestClass);
    }
  }

  private void insert(Entry entry) {
    ScheduledRequest request = entry.request();
    entriesById.put(request.id(), entry);
    groups
        .computeIfAbsent(
            request.adapterVersion(), adapterVersion -> new Group(adapterVersion, order))
        .entries
        .add(entry);
    countsByCaller.merge(request.caller(), 1, Integer::sum);
    entriesByClassAndCaller
        .computeIfAbsent(request.requestClass(), unseen -> new HashMap<>())
        .computeIfAbsent(request.caller(), unseen -> new TreeSet<>(BY_ARRIVAL))
        .add(entry);
  }
}
