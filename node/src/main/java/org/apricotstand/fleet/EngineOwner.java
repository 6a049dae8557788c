package org.apricotstand.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.enginelease.EngineLeases;
import org.apricotstand.enginelease.LeaseAction;
import org.apricotstand.enginelease.LeaseEvent;
import org.apricotstand.enginelease.LeaseRecord;
import org.apricotstand.enginelease.LeaseStatus;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.EngineControl;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.AdapterUsage;
import org.apricotstand.residency.CommandResult;
import org.apricotstand.residency.EngineSlots;
import org.apricotstand.residency.Residency;
import org.apricotstand.residency.SlotAction;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.ServiceSpec;

/**
 * Acquires and renews the leases of engines, and sends commands to the engines that this instance
 * owns. Not thread-safe; used on the control thread only.
 */
final class EngineOwner {

  private static final EventLog LOG = EventLog.of(EngineOwner.class);
  private static final String TABLE = "leases";

  /** Maximum number of loads in progress at one engine; engines accept no more. */
  private static final int MAX_CONCURRENT_LOADS = 4;

  /**
   * Time after the start in which a new system makes its first contact with the store. Later the
   * store may have lost the leases of instances that were faster.
   */
  private static final long NEW_SYSTEM_MS = 2_000;

  private final ControlThread control;
  private final RowStore store;
  private final EngineControl engines;
  private final ServingSettings settings;
  private final Metrics metrics;
  private final EngineLeases leases;
  private final Function<String, AdapterUsage> usageAt;
  private final BiConsumer<String, Residency> residencyListener;
  private final Map<String, OwnedEngine> ownedEngines = new HashMap<>();
  private final Map<String, LiveEngine> liveEngines = new HashMap<>();

  private record LiveEngine(TargetEntry target, EngineSpec spec) {}

  private record OwnedEngine(TargetEntry target, EngineSlots slots) {}

  EngineOwner(
      ControlThread control,
      RowStore store,
      EngineControl engines,
      ServingSettings settings,
      Metrics metrics,
      Function<String, AdapterUsage> usageAt,
      BiConsumer<String, Residency> residencyListener) {
    this.control = control;
    this.store = store;
    this.engines = engines;
    this.settings = settings;
    this.metrics = metrics;
    this.usageAt = usageAt;
    this.residencyListener = residencyListener;
    long newSystemUntilMs =
        settings.isNewSystem() ? ControlThread.nowMs() + NEW_SYSTEM_MS : Long.MIN_VALUE;
    this.leases = new EngineLeases(settings.name(), settings.handoverPauseMs(), newSystemUntilMs);
    store.addEraListener(era -> control.execute(() -> handle(new LeaseEvent.EraBegan(era))));
  }

  /**
   * Sets the live engines, which are the targets that a service with an engine names and that do
   * not leave. The state of an owned engine that restarted is discarded.
   */
  void onEnginesChanged(RoutingPlan plan, List<TargetEntry> targets) {
    liveEngines.clear();
    for (TargetEntry target : targets) {
      if (!target.leaving()) {
        plan.service(target.service())
            .flatMap(ServiceSpec::engine)
            .ifPresent(spec -> liveEngines.put(target.id(), new LiveEngine(target, spec)));
      }
    }
    Map<String, String> domains = new HashMap<>();
    liveEngines.forEach((id, engine) -> domains.put(id, engine.target.domain()));
    handle(new LeaseEvent.EnginesChanged(domains));
    for (String id : Set.copyOf(ownedEngines.keySet())) {
      LiveEngine engine = liveEngines.get(id);
      if (engine != null
          && !engine.target.incarnation().equals(ownedEngines.get(id).target.incarnation())) {
        LOG.info("engine_restarted", "engine", id, "incarnation", engine.target.incarnation());
        startOwning(id);
      }
    }
  }

  void onInstancesChanged(Map<String, String> domains) {
    handle(new LeaseEvent.InstancesChanged(domains));
  }

  void onLeasesReported(String holder, Map<String, LeaseStatus> leaseStatuses) {
    handle(new LeaseEvent.LeasesReported(holder, leaseStatuses));
  }

  void onHoldersHeard(Set<String> holders) {
    handle(new LeaseEvent.HoldersHeard(holders));
  }

  void onHolderSilent(String holder) {
    handle(new LeaseEvent.HolderSilent(holder));
  }

  /** Returns whether an engine of this instance carries out commands or has loads waiting. */
  boolean hasActiveEngine() {
    for (OwnedEngine engine : ownedEngines.values()) {
      if (engine.slots.isActive()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the fencing token of an engine that this instance owns. */
  long fencingNumber(String engine) {
    return leases.fencingNumber(engine);
  }

  /** Suspends all leases until their next renewal, because the process may have been paused. */
  void suspendLeases() {
    LOG.warn("leases_suspended", "reason", "pause");
    handle(new LeaseEvent.ProcessPaused());
  }

  /** Starts to release all leases; {@link #isReleased} returns true when this is done. */
  void releaseLeases() {
    handle(new LeaseEvent.ReleaseRequested());
  }

  boolean isReleased() {
    return leases.isReleased();
  }

  Map<String, LeaseStatus> leaseStatuses() {
    return leases.leaseStatuses(ControlThread.nowMs());
  }

  /** Returns the engines among the targets that an instance owns and that go on serving. */
  Set<String> enginesWithOwner(Collection<TargetEntry> targets) {
    return targets.stream()
        .filter(target -> !target.leaving())
        .map(TargetEntry::id)
        .filter(engine -> ownerOf(engine) != null)
        .collect(Collectors.toSet());
  }

  /** Returns the instance that owns an engine; null when no owner is known. */
  String ownerOf(String engine) {
    return leases.ownerOf(engine, ControlThread.nowMs());
  }

  void requestLoad(PeerMessage.AdapterWanted wanted) {
    long nowMs = ControlThread.nowMs();
    SlotEvent.LoadRequested request =
        new SlotEvent.LoadRequested(
            AdapterKey.parse(wanted.adapter()),
            wanted.version(),
            nowMs + wanted.remainingMs(),
            nowMs + wanted.onTimeRemainingMs());
    handleSlotEvent(wanted.engine(), request);
  }

  /**
   * Called when an engine has refused a request because it does not hold the adapter. If the
   * adapter is recorded as resident, the recorded state is wrong and is read again.
   */
  void onAdapterMissing(String engine, AdapterKey key) {
    OwnedEngine owned = ownedEngines.get(engine);
    if (owned != null && owned.slots.residency().resident().containsKey(key)) {
      LOG.info("adapter_missing", "engine", engine, "adapter", key);
      handleSlotEvent(engine, new SlotEvent.AdapterMissing());
    }
  }

  void tick() {
    handle(new LeaseEvent.Tick());
    for (String engine : List.copyOf(ownedEngines.keySet())) {
      handleSlotEvent(engine, new SlotEvent.Tick());
    }
  }

  private void handle(LeaseEvent event) {
    leases.handle(event, ControlThread.nowMs()).forEach(this::carryOut);
  }

  private void carryOut(LeaseAction action) {
    switch (action) {
      case LeaseAction.ReadRows read -> readRows();
      case LeaseAction.WriteRows write -> writeRows(write.rows());
      case LeaseAction.OwnershipGained gained -> {
        LOG.info("engine_owned", "engine", gained.engine(), "fencing", gained.fencingNumber());
        startOwning(gained.engine());
      }
      case LeaseAction.OwnershipLost lost -> {
        LOG.info("engine_not_owned", "engine", lost.engine(), "reason", lost.reason());
        ownedEngines.remove(lost.engine());
      }
    }
  }

  private void startOwning(String id) {
    LiveEngine engine = liveEngines.get(id);
    if (engine != null) {
      EngineSlots slots = new EngineSlots(engine.spec, usageAt.apply(id), MAX_CONCURRENT_LOADS);
      ownedEngines.put(id, new OwnedEngine(engine.target, slots));
      handleSlotEvent(id, new SlotEvent.Tick());
    }
  }

  private void readRows() {
    long requestedAtMs = ControlThread.nowMs();
    control.whenComplete(
        store.readAll(TABLE), (rows, failure) -> handleRows(rows, failure, requestedAtMs));
  }

  private void handleRows(List<Row> rows, Throwable failure, long requestedAtMs) {
    if (failure == null) {
      handle(new LeaseEvent.RowsRead(toLeaseRecords(rows), requestedAtMs));
    } else {
      LOG.warn("leases_not_read", "error", failure.toString());
      handle(new LeaseEvent.CallFailed());
    }
  }

  private void writeRows(List<LeaseRecord> rows) {
    long sentMs = ControlThread.nowMs();
    List<RowWrite> writes =
        rows.stream()
            .map(
                row ->
                    RowWrite.ifVersion(
                        row.rowVersion(),
                        row.engine(),
                        row.content().getBytes(StandardCharsets.UTF_8)))
            .toList();
    store
        .commit(TABLE, writes)
        .thenAccept(result -> control.execute(() -> handleCommitResult(rows, result, sentMs)));
  }

  private void handleCommitResult(List<LeaseRecord> rows, CommitResult result, long sentMs) {
    switch (result) {
      case CommitResult.Committed(StoreVersion version) ->
          handle(new LeaseEvent.WriteCommitted(rows, version, sentMs));
      case CommitResult.Conflict(List<Row> current) ->
          handle(new LeaseEvent.WriteRejected(rows, toLeaseRecords(current)));
      case CommitResult.Failed(String reason) -> {
        LOG.warn("leases_not_written", "reason", reason, "rows", rows.size());
        handle(new LeaseEvent.CallFailed());
      }
    }
  }

  private static List<LeaseRecord> toLeaseRecords(List<Row> rows) {
    return rows.stream()
        .map(
            row ->
                LeaseRecord.decode(
                    row.key(), new String(row.value(), StandardCharsets.UTF_8), row.version()))
        .toList();
  }

  private void handleSlotEvent(String id, SlotEvent event) {
    OwnedEngine engine = ownedEngines.get(id);
    if (engine == null) {
      return;
    }
    engine
        .slots
        .handle(event, ControlThread.nowMs())
        .forEach(action -> carryOut(id, engine, action));
  }

  private void carryOut(String id, OwnedEngine engine, SlotAction action) {
    switch (action) {
      case SlotAction.SendCommand send -> sendCommand(id, engine, send);
      case SlotAction.RequestReport request -> requestReport(id, engine);
      case SlotAction.Publish publish -> residencyListener.accept(id, publish.residency());
    }
  }

  private void requestReport(String id, OwnedEngine engine) {
    engines
        .report(engine.target)
        .whenComplete(
            (report, failure) -> {
              if (failure == null) {
                LOG.info("engine_reported", "engine", id, "report", report);
                handleIfStillOwned(id, engine, new SlotEvent.ReportReceived(report));
              } else {
                LOG.warn("engine_not_reported", "engine", id, "error", failure.toString());
                handleIfStillOwned(id, engine, new SlotEvent.ReportFailed());
              }
            });
  }

  private void sendCommand(String id, OwnedEngine engine, SlotAction.SendCommand send) {
    // Checked on the sending thread immediately before the call, so that no command is sent after
    // the lease ended.
    if (!leases.mayCommand(id, ControlThread.nowMs())) {
      handleIfStillOwned(
          id, engine, new SlotEvent.CommandAnswered(CommandResult.REFUSED, send.commandId()));
      return;
    }
    metrics.count("engine.commands");
    long sentMs = ControlThread.nowMs();
    engines
        .send(
            engine.target,
            send.command(),
            send.expectedSequence(),
            settings.name(),
            leases.fencingNumber(id))
        .thenAccept(
            result -> {
              LOG.info(
                  "command_answered",
                  "engine",
                  id,
                  "command",
                  send.command(),
                  "sequence",
                  send.expectedSequence(),
                  "result",
                  result,
                  "took_ms",
                  ControlThread.nowMs() - sentMs);
              handleIfStillOwned(
                  id, engine, new SlotEvent.CommandAnswered(result, send.commandId()));
            });
  }

  private void handleIfStillOwned(String id, OwnedEngine engine, SlotEvent event) {
    control.execute(
        () -> {
          if (ownedEngines.get(id) == engine) {
            handleSlotEvent(id, event);
          }
        });
  }
}
