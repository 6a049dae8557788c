package org.apricotstand.standin.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.apricotstand.platform.InstanceList.ListEntry;

/**
 * List of live and leaving instances and targets whose changes become visible after a fixed lag. An
 * entry that is leaving stays so until an entry with the same name and another incarnation replaces
 * it.
 */
final class LaggingInstanceList {

  private final long lagMs;
  private final Map<String, ListEntry> currentEntries = new TreeMap<>();
  private final Map<String, ListEntry> visibleEntries = new TreeMap<>();
  private final Deque<Change> pendingChanges = new ArrayDeque<>();

  /** A change of one entry; {@code newEntry} is null when the entry was removed. */
  private record Change(long atMs, String name, ListEntry newEntry) {}

  LaggingInstanceList(long lagMs) {
    this.lagMs = lagMs;
  }

  void put(ListEntry entry, long nowMs) {
    ListEntry previous = currentEntries.get(entry.name());
    boolean leaving =
        entry.leaving()
            || previous != null
                && previous.leaving()
                && previous.incarnation() == entry.incarnation();
    ListEntry newEntry =
        new ListEntry(
            entry.name(),
            entry.kind(),
            entry.incarnation(),
            entry.domain(),
            entry.address(),
            leaving);
    if (!newEntry.equals(previous)) {
      currentEntries.put(newEntry.name(), newEntry);
      pendingChanges.add(new Change(nowMs, newEntry.name(), newEntry));
    }
  }

  void remove(String name, long nowMs) {
    if (currentEntries.remove(name) != null) {
      pendingChanges.add(new Change(nowMs, name, null));
    }
  }

  /** Returns the list with all changes that are at least as old as the lag. */
  Collection<ListEntry> visibleEntries(long nowMs) {
    while (!pendingChanges.isEmpty() && pendingChanges.peek().atMs() + lagMs <= nowMs) {
      Change change = pendingChanges.poll();
      if (change.newEntry() == null) {
        visibleEntries.remove(change.name());
      } else {
        visibleEntries.put(change.name(), change.newEntry());
      }
    }
    return visibleEntries.values();
  }
}
