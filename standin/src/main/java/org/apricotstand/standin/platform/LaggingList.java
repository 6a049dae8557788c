package org.apricotstand.standin.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.apricotstand.platform.InstanceList.ListEntry;

/**
 * Live and leaving instances and targets, shown with a lag. Once an entry is leaving, it stays so
 * until its name comes back with another incarnation.
 */
final class LaggingList {

  private final long lagMs;
  private final Map<String, ListEntry> current = new TreeMap<>();
  private final Map<String, ListEntry> shown = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();

  private record Change(long atMs, String name, ListEntry listed) {}

  LaggingList(long lagMs) {
    this.lagMs = lagMs;
  }

  void put(ListEntry listed, long nowMs) {
    ListEntry known = current.get(listed.name());
    boolean leaving =
        listed.leaving()
            || known != null && known.leaving() && known.incarnation() == listed.incarnation();
    ListEntry kept =
        new ListEntry(
            listed.name(),
            listed.kind(),
            listed.incarnation(),
            listed.domain(),
            listed.address(),
            leaving);
    if (!kept.equals(known)) {
      current.put(kept.name(), kept);
      pending.add(new Change(nowMs, kept.name(), kept));
    }
  }

  void remove(String name, long nowMs) {
    if (current.remove(name) != null) {
      pending.add(new Change(nowMs, name, null));
    }
  }

  Collection<ListEntry> shown(long nowMs) {
    while (!pending.isEmpty() && pending.peek().atMs() + lagMs <= nowMs) {
      Change change = pending.poll();
      if (change.listed() == null) {
        shown.remove(change.name());
      } else {
        shown.put(change.name(), change.listed());
      }
    }
    return shown.values();
  }
}
