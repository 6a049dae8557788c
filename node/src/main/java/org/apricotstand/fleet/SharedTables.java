package org.apricotstand.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.overlay.ReadDuty;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowChange;
import org.apricotstand.port.TableSharing;

/**
 * Tables of the store that a relay reads for its members. In a fleet whose instances are all linked
 * to each other each one reads for itself, and nothing is passed on. Not thread-safe; used on the
 * control thread only.
 */
final class SharedTables implements TableSharing {

  private final LongSupplier clock;
  private final double staggerFraction;
  private final Links links;
  private final Map<String, Listener> listeners = new HashMap<>();
  private final Map<String, ReadDuty> duties = new HashMap<>();

  /** Connects the tables with the exchange of the fleet's state. */
  interface Links {

    /** Returns whether all instances are linked to each other. */
    boolean isMesh();

    /** Returns whether another instance relays for this one. */
    boolean hasRelay();

    /** Publishes rows as entries of the fleet's state, and sends them to the members at once. */
    void publish(List<FleetState.TableRow> rows);

    void sendToMembers(PeerMessage message);
  }

  /**
   * Creates an empty set of tables.
   *
   * @param clock monotonic time in milliseconds
   * @param staggerFraction random number from 0 to 1 that spreads the reads of the instances
   */
  SharedTables(LongSupplier clock, double staggerFraction, Links links) {
    this.clock = clock;
    this.staggerFraction = staggerFraction;
    this.links = links;
  }

  @Override
  public void subscribe(String table, long readPeriodMs, Listener listener) {
    listeners.put(table, listener);
    duties.put(table, new ReadDuty(readPeriodMs, staggerFraction));
  }

  @Override
  public boolean mustRead(String table) {
    return duties.get(table).mustRead(links.hasRelay(), clock.getAsLong());
  }

  @Override
  public Role role() {
    if (links.isMesh()) {
      return Role.MESH;
    }
    return links.hasRelay() ? Role.MEMBER : Role.RELAY;
  }

  @Override
  public double staggerFraction() {
    return staggerFraction;
  }

  @Override
  public void share(
      String table, List<RowChange> rows, StoreVersion fromVersion, StoreVersion version) {
    if (links.isMesh()) {
      return;
    }
    if (!rows.isEmpty()) {
      links.publish(rows.stream().map(change -> toState(table, change)).toList());
    }
    links.sendToMembers(new PeerMessage.TableRead(table, fromVersion, version));
  }

  @Override
  public void shareLost(String table, List<RowChange> rows) {
    links.publish(rows.stream().map(change -> toState(table, change)).toList());
  }

  private static FleetState.TableRow toState(String table, RowChange change) {
    Row row = change.row();
    return new FleetState.TableRow(table, row.key(), row.value(), row.version(), change.removed());
  }

  @Override
  public void shareRecovery(String table) {
    links.sendToMembers(new PeerMessage.TableRegained(table));
  }

  /** Passes on rows that another instance read, with one call for each table. */
  void apply(List<FleetState.TableRow> rows) {
    Map<String, List<RowChange>> changesByTable = new LinkedHashMap<>();
    for (FleetState.TableRow row : rows) {
      Row content = new Row(row.rowKey(), row.value(), row.version());
      changesByTable
          .computeIfAbsent(row.table(), table -> new ArrayList<>())
          .add(new RowChange(content, row.removed()));
    }
    changesByTable.forEach(
        (table, changes) -> {
          Listener listener = listeners.get(table);
          if (listener != null) {
            listener.onShared(changes);
          }
        });
  }

  void apply(PeerMessage.TableRead read) {
    Listener listener = listeners.get(read.table());
    if (listener != null && listener.onSharedUpTo(read.fromVersion(), read.version())) {
      duties.get(read.table()).recordTold(clock.getAsLong());
    }
  }

  void apply(PeerMessage.TableRegained regained) {
    Listener listener = listeners.get(regained.table());
    if (listener != null) {
      listener.onSharedRecovery();
    }
  }
}
