package org.apricotstand.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Holds the newest version of each entry of the fleet's state, and for each neighbor the entries
 * that it still has to get. An entry that changes several times before it is sent is sent once. An
 * entry that arrives by two ways is passed on once.
 *
 * <pre>{@code
 * if (entries.put(entry, peer)) { ... }
 * List<Entry<V>> batch = entries.take(neighbor);
 * }</pre>
 *
 * @param <V> content of an entry
 */
public final class ReplicatedEntries<V> {

  /** Source of the entries that this instance wrote itself. */
  public static final String OWN = "";

  private final String domain;
  private final Map<String, StoredEntry<V>> entries = new LinkedHashMap<>();
  private final Map<String, Set<String>> pendingKeys = new HashMap<>();
  private final Set<String> neighborsWithUrgent = new LinkedHashSet<>();
  private Map<String, Neighbor> neighbors = Map.of();

  /**
   * One piece of state.
   *
   * @param key name of the entry, unique in the fleet
   * @param domain failure domain of its writer
   * @param isUrgent whether it is to be sent without waiting for the next regular report
   */
  public record Entry<V>(
      String key, EntryVersion version, String domain, boolean isUrgent, V value) {}

  private record StoredEntry<V>(Entry<V> entry, String source) {}

  /**
   * Creates an empty table.
   *
   * @param domain failure domain of this instance
   */
  public ReplicatedEntries(String domain) {
    this.domain = domain;
  }

  /**
   * Stores an entry unless the stored version is as new.
   *
   * @param source neighbor that sent it, or {@link #OWN}
   * @return whether the entry was stored
   */
  public boolean put(Entry<V> entry, String source) {
    StoredEntry<V> before = entries.get(entry.key());
    if (before != null && before.entry.version().compareTo(entry.version()) >= 0) {
      if (before.entry.version().equals(entry.version())) {
        preferMember(before, source);
      }
      return false;
    }
    StoredEntry<V> stored = new StoredEntry<>(entry, source);
    entries.put(entry.key(), stored);
    neighbors.forEach(
        (neighbor, properties) -> {
          if (isNewsFor(neighbor, properties, stored)) {
            addPending(neighbor, entry);
          } else {
            pendingKeys.get(neighbor).remove(entry.key());
          }
        });
    return true;
  }

  /**
   * Takes a member as the source of an entry that came by a detour before. Only what comes from
   * inside the domain is passed on to others.
   */
  private void preferMember(StoredEntry<V> stored, String source) {
    if (isMember(source) && !isMember(stored.source) && !stored.source.equals(OWN)) {
      StoredEntry<V> preferred = new StoredEntry<>(stored.entry, source);
      entries.put(stored.entry.key(), preferred);
      addPendingForAll(preferred);
    }
  }

  private boolean isMember(String name) {
    Neighbor neighbor = neighbors.get(name);
    return neighbor != null && neighbor.role() == LinkRole.MEMBER;
  }

  /**
   * Sets the neighbors. One that is new, or whose role changed, gets all entries meant for it; what
   * came from it is checked again for the others.
   */
  public void setNeighbors(Map<String, Neighbor> current) {
    if (neighbors.equals(current)) {
      return;
    }
    Set<String> changed = changedBetween(neighbors, current);
    neighbors = Map.copyOf(current);
    pendingKeys.keySet().retainAll(neighbors.keySet());
    neighborsWithUrgent.retainAll(neighbors.keySet());
    changed.forEach(this::resendAll);
    entries.values().stream()
        .filter(stored -> changed.contains(stored.source))
        .forEach(this::addPendingForAll);
  }

  private static Set<String> changedBetween(
      Map<String, Neighbor> before, Map<String, Neighbor> after) {
    Set<String> names = new HashSet<>(before.keySet());
    names.addAll(after.keySet());
    names.removeIf(name -> Objects.equals(before.get(name), after.get(name)));
    return names;
  }

  private void addPendingForAll(StoredEntry<V> stored) {
    neighbors.forEach(
        (name, properties) -> {
          if (isNewsFor(name, properties, stored)) {
            addPending(name, stored.entry);
          }
        });
  }

  /**
   * Sends all entries again, because the neighbor may have lost some with a broken link, or all,
   * its own included, with a restart.
   */
  public void resendAll(String neighbor) {
    Neighbor properties = neighbors.get(neighbor);
    if (properties == null) {
      return;
    }
    pendingKeys.put(neighbor, new LinkedHashSet<>());
    entries.values().stream()
        .filter(stored -> isFor(properties, stored, sourceOf(stored, neighbor)))
        .forEach(stored -> addPending(neighbor, stored.entry));
  }

  private void addPending(String neighbor, Entry<V> entry) {
    pendingKeys.computeIfAbsent(neighbor, name -> new LinkedHashSet<>()).add(entry.key());
    if (entry.isUrgent()) {
      neighborsWithUrgent.add(neighbor);
    }
  }

  /** Returns whether a change goes to a neighbor. It never goes back to where it came from. */
  private boolean isNewsFor(String name, Neighbor neighbor, StoredEntry<V> stored) {
    return !name.equals(stored.source) && isFor(neighbor, stored, neighbors.get(stored.source));
  }

  /** Returns the source of an entry; null when it is the receiver itself or no neighbor. */
  private Neighbor sourceOf(StoredEntry<V> stored, String receiver) {
    return stored.source.equals(receiver) ? null : neighbors.get(stored.source);
  }

  private boolean isFor(Neighbor neighbor, StoredEntry<V> stored, Neighbor source) {
    String entryDomain = stored.entry.domain();
    return switch (neighbor.role()) {
      case MEMBER -> true;
      case RELAY -> source == null || source.role() != LinkRole.RELAY;
      // Another domain gets what this one says from its relays. What comes from the domain itself
      // is news there only while it has several relays that do not know of each other.
      case REMOTE ->
          neighbor.domain().equals(domain)
              || entryDomain.equals(neighbor.domain())
              || (entryDomain.equals(domain) && (source == null || source.domain().equals(domain)));
      case PEER -> entryDomain.equals(domain) && (source == null || source.role() != LinkRole.PEER);
    };
  }

  /** Returns whether any neighbor still has to get an urgent entry. */
  public boolean hasUrgent() {
    return !neighborsWithUrgent.isEmpty();
  }

  /** Returns whether a neighbor still has to get an urgent entry. */
  public boolean hasUrgent(String neighbor) {
    return neighborsWithUrgent.contains(neighbor);
  }

  /** Removes and returns the entries that a neighbor still has to get, oldest change first. */
  public List<Entry<V>> take(String neighbor) {
    neighborsWithUrgent.remove(neighbor);
    Set<String> keys = pendingKeys.put(neighbor, new LinkedHashSet<>());
    List<Entry<V>> taken = new ArrayList<>();
    if (keys != null) {
      keys.stream()
          .map(entries::get)
          .filter(stored -> stored != null)
          .forEach(stored -> taken.add(stored.entry));
    }
    return taken;
  }

  /** Returns the stored entry; null when there is none. */
  public Entry<V> get(String key) {
    StoredEntry<V> stored = entries.get(key);
    return stored == null ? null : stored.entry;
  }

  /** Removes an entry here; other instances keep theirs. */
  public void remove(String key) {
    entries.remove(key);
  }

  /** Returns the keys of all entries. */
  public Collection<String> keys() {
    return List.copyOf(entries.keySet());
  }
}
