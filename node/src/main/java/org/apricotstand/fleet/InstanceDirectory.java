package org.apricotstand.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.overlay.OverlayInstance;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowChange;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.port.TableSharing;

/**
 * Finds the other instances through a table. At its start, each instance writes its own address to
 * the table; after that it reads the addresses of the others periodically. If two instances start
 * at the same time, the one that writes later sees the other.
 */
public final class InstanceDirectory {

  private static final EventLog LOG = EventLog.of(InstanceDirectory.class);
  private static final String TABLE = "instances";
  private static final long RETRY_DELAY_MS = 300;

  /** First pause between two reads; instances that start together register one after the other. */
  private static final long MIN_REFRESH_PERIOD_MS = 300;

  /** Pause between two checks whether another instance reads the table for this one. */
  private static final long SHARING_CHECK_MS = 500;

  /** Number of first reads after which a list that still changes is used all the same. */
  private static final int MAX_SETTLING_READS = 4;

  private static final long MAX_REFRESH_PERIOD_MS = 10_000;

  private final ServingSettings settings;
  private final RowStore store;
  private final ControlThread control;
  private final Map<InstanceId, InstanceRecord> records = new ConcurrentHashMap<>();
  private Consumer<List<OverlayInstance>> listener = instances -> {};
  private long refreshPeriodMs = MIN_REFRESH_PERIOD_MS;
  private TableSharing sharing;
  private int reads;
  private boolean settled;

  /** Creates an empty directory. */
  public InstanceDirectory(ServingSettings settings, RowStore store, ControlThread control) {
    this.settings = settings;
    this.store = store;
    this.control = control;
  }

  /** Sets the listener that gets all other instances after each read, on the control thread. */
  public void setListener(Consumer<List<OverlayInstance>> newListener) {
    listener = newListener;
  }

  /** Registers this instance and starts to look for others; called on the control thread. */
  public void start(TableSharing tableSharing) {
    sharing = tableSharing;
    sharing.subscribe(
        TABLE,
        MAX_REFRESH_PERIOD_MS,
        new TableSharing.Listener() {
          @Override
          public void onShared(List<RowChange> rows) {
            applyShared(rows);
          }

          @Override
          public boolean onSharedUpTo(long fromVersion, long version) {
            return settled;
          }

          @Override
          public void onSharedRecovery() {
            // The table keeps its rows through an outage.
          }
        });
    register();
  }

  private void register() {
    InstanceRecord own =
        new InstanceRecord(
            settings.name(),
            settings.domain(),
            settings.peerAddress().getAddress().getHostAddress(),
            settings.peerAddress().getPort(),
            settings.relayCapacity());
    store
        .commit(TABLE, List.of(new RowWrite(settings.name(), own.encode(), RowWrite.ANY_VERSION)))
        .thenAccept(result -> control.execute(() -> handleRegistration(result)));
  }

  private void handleRegistration(CommitResult result) {
    if (result instanceof CommitResult.Committed) {
      refresh();
    } else {
      LOG.warn("instance_not_registered", "result", result);
      control.executeAt(ControlThread.nowMs() + RETRY_DELAY_MS, this::register);
    }
  }

  private void refresh() {
    if (settled && !sharing.mustRead(TABLE)) {
      control.executeAt(ControlThread.nowMs() + SHARING_CHECK_MS, this::refresh);
      return;
    }
    control.whenComplete(store.readAll(TABLE), this::handleRows);
  }

  private void handleRows(List<Row> rows, Throwable failure) {
    // Scheduled first, so that the table is read again even if the listener fails.
    long delayMs = failure == null ? refreshPeriodMs : RETRY_DELAY_MS;
    refreshPeriodMs = Math.min(MAX_REFRESH_PERIOD_MS, 2 * refreshPeriodMs);
    control.executeAt(ControlThread.nowMs() + delayMs, this::refresh);
    if (failure == null) {
      rows.forEach(this::updateRecord);
      listener.accept(records.values().stream().map(InstanceRecord::toOverlayInstance).toList());
    } else {
      LOG.warn("instances_not_read", "error", failure.toString());
    }
  }

  /**
   * Passes the instances on once a read has found no new one. Instances that start together would
   * else build links for a fleet of the few that registered first.
   */
  private void announceWhenSettled(boolean unchanged) {
    settled = settled || (unchanged && reads > 1) || reads >= MAX_SETTLING_READS;
    if (settled) {
      listener.accept(records.values().stream().map(InstanceRecord::toOverlayInstance).toList());
    }
  }

  private void logNewInstances(int knownBefore) {
    if (records.size() > knownBefore) {
      LOG.info("instances_found", "count", records.size(), "new", records.size() - knownBefore);
    }
  }

  /** Passes on a read, which was of the whole table, so that it tells all up to its version. */
  private void share(List<Row> rows) {
    long version = rows.stream().mapToLong(Row::version).max().orElse(0);
    sharing.share(TABLE, rows.stream().map(row -> new RowChange(row, false)).toList(), 0, version);
  }

  private void applyShared(List<RowChange> changes) {
    int knownBefore = records.size();
    changes.stream().map(RowChange::row).forEach(this::updateRecord);
    logNewInstances(knownBefore);
    announceWhenSettled(false);
  }

  private void updateRecord(Row row) {
    if (row.key().equals(settings.name())) {
      return;
    }
    try {
      InstanceRecord record = InstanceRecord.decode(row.key(), row.value());
      InstanceRecord before = records.put(new InstanceId(row.key()), record);
      if (before != null && !record.equals(before)) {
        LOG.info("instance_moved", "instance", row.key(), "address", record.address());
      }
    } catch (IllegalArgumentException e) {
      LOG.warn("instance_row_unreadable", "instance", row.key(), "error", e.getMessage());
    }
  }

  /** Returns the address of an instance; null when unknown. */
  public InetSocketAddress addressOf(InstanceId instance) {
    InstanceRecord record = records.get(instance);
    return record == null ? null : record.address();
  }

  /** Returns the failure domain of an instance; an empty string when unknown. */
  public String domainOf(InstanceId instance) {
    InstanceRecord record = records.get(instance);
    return record == null ? "" : record.domain();
  }

  /** Returns all known instances except this one. */
  public Set<InstanceId> otherInstances() {
    return records.keySet();
  }
}
