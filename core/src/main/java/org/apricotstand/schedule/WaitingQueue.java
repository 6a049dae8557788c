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

/** Requests that wait for an engine, in groups by adapter version. */
final class WaitingQueue {

  /** A request with its place in the order of arrival. */
  record Entry(ScheduledRequest request, long sequence, int requeues) {}

  /** Requests of one adapter version, most urgent first. */
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

    /** Returns the arrival number of the request that came first. */
    long firstSequence() {
      return entries.stream().mapToLong(Entry::sequence).min().orElse(Long.MAX_VALUE);
    }

    /** Returns when the request that waits longest arrived. */
    long oldestMs() {
      return entries.stream()
          .mapToLong(entry -> entry.request().arrivedMs())
          .min()
          .orElse(Long.MAX_VALUE);
    }
  }

  /** Order by class, then deadline, then arrival. */
  static final Comparator<Entry> BY_URGENCY =
      Comparator.comparing((Entry entry) -> entry.request().requestClass())
          .thenComparingLong(entry -> entry.request().deadlineMs())
          .thenComparingLong(Entry::sequence);

  /** Order of arrival. */
  static final Comparator<Entry> BY_ARRIVAL = Comparator.comparingLong(Entry::sequence);

  private final Comparator<Entry> order;
  private final Map<RequestId, Entry> byId = new LinkedHashMap<>();
  private final Map<AdapterVersion, Group> groups = new LinkedHashMap<>();
  private final Map<String, Integer> byCaller = new HashMap<>();
  // Finds the request to drop without a look at every entry when the queue stays full.
  private final Map<RequestClass, Map<String, TreeSet<Entry>>> byClassAndCaller =
      new EnumMap<>(RequestClass.class);
  private long lastSequence;

  WaitingQueue(Comparator<Entry> order) {
    this.order = order;
  }

  int size() {
    return byId.size();
  }

  boolean contains(RequestId id) {
    return byId.containsKey(id);
  }

  Collection<Group> groups() {
    return groups.values();
  }

  /** Returns the group of an adapter version, or null when nothing waits for it. */
  Group group(AdapterVersion adapterVersion) {
    return groups.get(adapterVersion);
  }

  List<Entry> entries() {
    return List.copyOf(byId.values());
  }

  void add(ScheduledRequest request) {
    lastSequence++;
    insert(new Entry(request, lastSequence, 0));
  }

  /** Puts a request back that was dispatched but not run, at its former place. */
  void requeue(Entry entry) {
    insert(new Entry(entry.request(), entry.sequence(), entry.requeues() + 1));
  }

  /** Removes a request; returns null when it doesn't wait. */
  Entry remove(RequestId id) {
    Entry entry = byId.remove(id);
    if (entry != null) {
      AdapterVersion name = entry.request().adapterVersion();
      Group group = groups.get(name);
      group.entries.remove(entry);
      if (group.entries.isEmpty()) {
        groups.remove(name);
      }
      byCaller.computeIfPresent(
          entry.request().caller(), (caller, count) -> count == 1 ? null : count - 1);
      removeFromClass(entry);
    }
    return entry;
  }

  /**
   * Returns the request to drop from a full queue: within the lowest class that waits, the newest
   * request of the caller with the most waiting requests.
   */
  Entry overflowVictim() {
    Map<String, TreeSet<Entry>> callers =
        byClassAndCaller.entrySet().stream()
            .max(Map.Entry.comparingByKey())
            .map(Map.Entry::getValue)
            .orElseThrow();
    String largest =
        callers.keySet().stream()
            .max(
                Comparator.comparing((String caller) -> byCaller.get(caller))
                    .thenComparing(Comparator.naturalOrder()))
            .orElseThrow();
    return callers.get(largest).last();
  }

  private void removeFromClass(Entry entry) {
    RequestClass requestClass = entry.request().requestClass();
    String caller = entry.request().caller();
    Map<String, TreeSet<Entry>> callers = byClassAndCaller.get(requestClass);
    TreeSet<Entry> entries = callers.get(caller);
    entries.remove(entry);
    if (entries.isEmpty()) {
      callers.remove(caller);
    }
    if (callers.isEmpty()) {
      byClassAndCaller.remove(requestClass);
    }
  }

  private void insert(Entry entry) {
    ScheduledRequest request = entry.request();
    byId.put(request.id(), entry);
    groups
        .computeIfAbsent(request.adapterVersion(), name -> new Group(name, order))
        .entries
        .add(entry);
    byCaller.merge(request.caller(), 1, Integer::sum);
    byClassAndCaller
        .computeIfAbsent(request.requestClass(), unseen -> new HashMap<>())
        .computeIfAbsent(request.caller(), unseen -> new TreeSet<>(BY_ARRIVAL))
        .add(entry);
  }
}
