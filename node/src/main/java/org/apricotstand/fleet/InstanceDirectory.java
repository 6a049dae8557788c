package org.apricotstand.fleet;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.StoreVersion;
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
 * at the same time, the one that writes later sees the other. In a fleet with relays, the members
 * of a relay learn from it what it reads, and read themselves only while it tells them nothing.
 *
 * <p>Used on one thread, except for the look-ups; the calls return immediately.
 */
public final class InstanceDirectory {

  private static final EventLog LOG = EventLog.of(InstanceDirectory.class);
  private static final String TABLE = "instances";
  private static final long RETRY_DELAY_MS = 300;

  /** Time over which the instances spread their reads of a restored store. */
  private static final long RESTORED_READ_SPREAD_MS = 1_000;

  /** First pause between two reads; instances that start together register one after the other. */
  private static final long MIN_REFRESH_PERIOD_MS = 300;

  /** Longest pause while each instance reads for itself. */
  private static final long MAX_REFRESH_PERIOD_MS = 10_000;

  /**
   * Pause between two reads of a relay, so that all relays know a new instance within 2 s and their
   * members half a second later.
   */
  private static final long RELAY_REFRESH_PERIOD_MS = 1_500;

  /** Longest pause of a member that is told nothing; as long as a new instance may be unknown. */
  private static final long UNTOLD_REFRESH_PERIOD_MS = 3_000;

  private final InstanceRecord self;
  private final RowStore store;
  private final Executor executor;
  private final LongSupplier clock;
  private final Map<InstanceId, InstanceRecord> records = new ConcurrentHashMap<>();
  private final Map<String, StoreVersion> rowVersions = new HashMap<>();
  private Consumer<List<OverlayInstance>> listener = instances -> {};
  private TableSharing sharing;
  private long refreshPeriodMs = MIN_REFRESH_PERIOD_MS;
  private long nextCallMs;
  private boolean calling;
  private boolean registered;
  private boolean hasRead;
  private boolean isRestored;

  /**
   * Creates an empty directory.
   *
   * @param executor runs what follows on the answers of the store, on the thread of the calls
   * @param clock monotonic time in milliseconds
   */
  public InstanceDirectory(
      ServingSettings settings, RowStore store, Executor executor, LongSupplier clock) {
    this(recordOf(settings), store, executor, clock);
  }

  InstanceDirectory(InstanceRecord self, RowStore store, Executor executor, LongSupplier clock) {
    this.self = self;
    this.store = store;
    this.executor = executor;
    this.clock = clock;
  }

  private static InstanceRecord recordOf(ServingSettings settings) {
    return new InstanceRecord(
        settings.name(),
        settings.domain(),
        settings.peerAddress().getAddress().getHostAddress(),
        settings.peerAddress().getPort(),
        settings.relayCapacity());
  }

  /** Sets the listener that gets all other instances after the first read and each change. */
  public void setListener(Consumer<List<OverlayInstance>> newListener) {
    listener = newListener;
  }

  /** Starts to register this instance and to look for others. */
  public void start(TableSharing tableSharing) {
    sharing = tableSharing;
    sharing.subscribe(
        TABLE,
        RELAY_REFRESH_PERIOD_MS,
        new TableSharing.Listener() {
          @Override
          public void onShared(List<RowChange> rows) {
            applyShared(rows);
          }

          @Override
          public boolean onSharedUpTo(StoreVersion fromVersion, StoreVersion version) {
            // The relay passes on the whole table, so nothing before it is needed.
            return hasRead;
          }

          @Override
          public void onSharedRecovery() {
            // The table keeps its rows through an outage.
          }
        });
    store.addEraListener(era -> executor.execute(this::checkRegistration));
    tick();
  }

  /** Reads the table soon, because a restored store may have lost the row of this instance. */
  private void checkRegistration() {
    if (registered) {
      isRestored = true;
      long spreadMs = (long) (sharing.staggerFraction() * RESTORED_READ_SPREAD_MS);
      nextCallMs = clock.getAsLong() + spreadMs;
    }
  }

  /** Calls the store if that is due; to be called many times a second. */
  public void tick() {
    if (sharing == null || calling || clock.getAsLong() < nextCallMs) {
      return;
    }
    if (!registered) {
      calling = true;
      store
          .commit(TABLE, List.of(RowWrite.unconditional(self.name(), self.encode())))
          .thenAccept(result -> executor.execute(() -> handleRegistration(result)));
    } else if (!hasRead || isRestored || sharing.mustRead(TABLE)) {
      calling = true;
      store
          .readAll(TABLE)
          .whenComplete((rows, failure) -> executor.execute(() -> handleRows(rows, failure)));
    }
  }

  private void handleRegistration(CommitResult result) {
    calling = false;
    if (result instanceof CommitResult.Committed) {
      registered = true;
      tick();
    } else {
      LOG.warn("instance_not_registered", "result", result);
      nextCallMs = clock.getAsLong() + RETRY_DELAY_MS;
    }
  }

  private void handleRows(List<Row> rows, Throwable failure) {
    calling = false;
    if (failure != null) {
      LOG.warn("instances_not_read", "error", failure.toString());
      nextCallMs = clock.getAsLong() + RETRY_DELAY_MS;
      return;
    }
    // Set first, so that the table is read again even if the listener fails.
    scheduleRefresh();
    if (isRestored) {
      isRestored = false;
      registered = rows.stream().anyMatch(this::isOwnRow);
    }
    boolean isFirst = !hasRead;
    hasRead = true;
    boolean isNew = updateRecords(rows);
    share(rows);
    if (isNew || isFirst) {
      announce();
    }
  }

  private boolean isOwnRow(Row row) {
    return row.key().equals(self.name()) && Arrays.equals(row.value(), self.encode());
  }

  private void scheduleRefresh() {
    long maxPeriodMs =
        switch (sharing.role()) {
          case MESH -> MAX_REFRESH_PERIOD_MS;
          case RELAY -> RELAY_REFRESH_PERIOD_MS;
          case MEMBER -> UNTOLD_REFRESH_PERIOD_MS;
        };
    refreshPeriodMs = Math.min(maxPeriodMs, refreshPeriodMs);
    nextCallMs = clock.getAsLong() + refreshPeriodMs;
    refreshPeriodMs = 2 * refreshPeriodMs;
  }

  /** Passes on a read, which was of the whole table, so that it tells all up to its version. */
  private void share(List<Row> rows) {
    StoreVersion version =
        rows.stream().map(Row::version).reduce(StoreVersion.NONE, StoreVersion::max);
    List<RowChange> changes = rows.stream().map(row -> new RowChange(row, false)).toList();
    sharing.share(TABLE, changes, StoreVersion.NONE, version);
  }

  private void applyShared(List<RowChange> changes) {
    // The first rows of a relay may be a part of the table only, unlike those of a read.
    if (updateRecords(changes.stream().map(RowChange::row).toList()) && hasRead) {
      announce();
    }
  }

  private void announce() {
    listener.accept(records.values().stream().map(InstanceRecord::toOverlayInstance).toList());
  }

  /** Applies rows that are newer than what is known; returns whether an instance changed. */
  private boolean updateRecords(List<Row> rows) {
    int knownBefore = records.size();
    boolean isChanged = false;
    for (Row row : rows) {
      if (row.version().isAfter(rowVersions.getOrDefault(row.key(), StoreVersion.NONE))) {
        rowVersions.put(row.key(), row.version());
        isChanged |= updateRecord(row);
      }
    }
    if (records.size() > knownBefore) {
      LOG.info("instances_found", "count", records.size(), "new", records.size() - knownBefore);
    }
    return isChanged;
  }

  private boolean updateRecord(Row row) {
    if (row.key().equals(self.name())) {
      return false;
    }
    try {
      InstanceRecord record = InstanceRecord.decode(row.key(), row.value());
      InstanceRecord before = records.put(new InstanceId(row.key()), record);
      if (before != null && !record.equals(before)) {
        LOG.info("instance_moved", "instance", row.key(), "address", record.address());
      }
      return !record.equals(before);
    } catch (IllegalArgumentException e) {
      LOG.warn("instance_row_unreadable", "instance", row.key(), "error", e.getMessage());
      return false;
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
