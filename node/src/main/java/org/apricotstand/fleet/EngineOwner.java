package org.apricotstand.fleet;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.order.EngineLeases;
import org.apricotstand.order.LeaseAction;
import org.apricotstand.order.LeaseEvent;
import org.apricotstand.order.LeaseRecord;
import org.apricotstand.order.LeaseStanding;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.EngineControl;
import org.apricotstand.port.FrontSettings;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.AdapterUsage;
import org.apricotstand.residency.CommandResult;
import org.apricotstand.residency.EngineSlots;
import org.apricotstand.residency.Residency;
import org.apricotstand.residency.SlotAction;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.route.EngineSpec;

/** Owns engines by leases and commands them; control thread. */
final class EngineOwner {

  private static final EventLog LOG = EventLog.of(EngineOwner.class);
  private static final String TABLE = "leases";

  /** Most adapters on their way to one engine; engines accept no more. */
  private static final int MAX_ARRIVING = 4;

  private final ControlThread control;
  private final RowStore store;
  private final EngineControl engines;
  private final FrontSettings settings;
  private final Metrics metrics;
  private final EngineLeases leases;
  private final Function<String, AdapterUsage> useOf;
  private final BiConsumer<String, Residency> published;
  private final Map<String, Owned> owned = new HashMap<>();
  private final Map<String, Engine> known = new HashMap<>();

  private record Engine(TargetEntry target, EngineSpec spec) {}

  private record Owned(TargetEntry target, EngineSlots slots) {}

  EngineOwner(
      ControlThread control,
      RowStore store,
      EngineControl engines,
      FrontSettings settings,
      Metrics metrics,
      Function<String, AdapterUsage> useOf,
      BiConsumer<String, Residency> published) {
    this.control = control;
    this.store = store;
    this.engines = engines;
    this.settings = settings;
    this.metrics = metrics;
    this.useOf = useOf;
    this.published = published;
    this.leases = new EngineLeases(settings.name(), settings.commandPauseMs());
  }

  /** Sets the engines that live; a restarted engine starts anew. */
  void enginesChanged(Map<TargetEntry, EngineSpec> live) {
    known.clear();
    live.forEach((target, spec) -> known.put(target.id(), new Engine(target, spec)));
    Map<String, String> domains = new HashMap<>();
    known.forEach((id, engine) -> domains.put(id, engine.target.domain()));
    handle(new LeaseEvent.EnginesChanged(domains));
    for (String id : Set.copyOf(owned.keySet())) {
      Engine engine = known.get(id);
      if (engine != null
          && !engine.target.incarnation().equals(owned.get(id).target.incarnation())) {
        LOG.info("engine_restarted", "engine", id, "incarnation", engine.target.incarnation());
        own(id);
      }
    }
  }

  void instancesChanged(Map<String, String> domains) {
    handle(new LeaseEvent.InstancesChanged(domains));
  }

  void ownerHeard(String holder, Map<String, LeaseStanding> held) {
    handle(new LeaseEvent.LeasesReported(holder, held));
  }

  void paused() {
    LOG.warn("leases_suspended", "reason", "pause");
    handle(new LeaseEvent.ProcessPaused());
  }

  /** Gives up all engines. */
  void release() {
    handle(new LeaseEvent.ReleaseRequested());
  }

  boolean isReleased() {
    return leases.isReleased();
  }

  Map<String, LeaseStanding> standings() {
    return leases.standings(ControlThread.nowMs());
  }

  /** Returns the instance that commands an engine; null when none is known to. */
  String ownerOf(String engine) {
    return leases.ownerOf(engine, ControlThread.nowMs());
  }

  /** Returns what each owned engine holds. */
  Map<String, Residency> residencies() {
    Map<String, Residency> all = new HashMap<>();
    owned.forEach((id, engine) -> all.put(id, engine.slots.residency()));
    return all;
  }

  void want(String engine, SlotEvent.LoadRequested wanted) {
    feed(engine, wanted);
  }

  /** An engine refused a request for an adapter that it should hold: what is known is wrong. */
  void missing(String engine, AdapterKey key) {
    Owned current = owned.get(engine);
    if (current != null && current.slots.residency().resident().containsKey(key)) {
      LOG.info("adapter_missing", "engine", engine, "adapter", key);
      feed(engine, new SlotEvent.AdapterMissing());
    }
  }

  void tick() {
    handle(new LeaseEvent.Tick());
    for (String engine : List.copyOf(owned.keySet())) {
      feed(engine, new SlotEvent.Tick());
    }
  }

  private void handle(LeaseEvent event) {
    leases.handle(event, ControlThread.nowMs()).forEach(this::carryOut);
  }

  private void carryOut(LeaseAction action) {
    switch (action) {
      case LeaseAction.ReadRows read -> readRows();
      case LeaseAction.WriteRows write -> writeRows(write.rows());
      case LeaseAction.Gained gained -> {
        LOG.info("engine_owned", "engine", gained.engine(), "fencing", gained.fencingNumber());
        own(gained.engine());
      }
      case LeaseAction.Lost lost -> {
        LOG.info("engine_not_owned", "engine", lost.engine(), "reason", lost.reason());
        owned.remove(lost.engine());
      }
    }
  }

  private void own(String id) {
    Engine engine = known.get(id);
    if (engine != null) {
      EngineSlots slots = new EngineSlots(engine.spec, useOf.apply(id), MAX_ARRIVING);
      owned.put(id, new Owned(engine.target, slots));
      feed(id, new SlotEvent.Tick());
    }
  }

  private void readRows() {
    long askedMs = ControlThread.nowMs();
    control.whenComplete(store.readAll(TABLE), (rows, failure) -> rowsRead(rows, failure, askedMs));
  }

  private void rowsRead(List<Row> rows, Throwable failure, long askedMs) {
    if (failure == null) {
      handle(new LeaseEvent.RowsRead(records(rows), askedMs));
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
                    new RowWrite(
                        row.engine(),
                        row.content().getBytes(StandardCharsets.UTF_8),
                        row.rowVersion()))
            .toList();
    store
        .commit(TABLE, writes)
        .thenAccept(result -> control.execute(() -> wrote(rows, result, sentMs)));
  }

  private void wrote(List<LeaseRecord> rows, CommitResult result, long sentMs) {
    switch (result) {
      case CommitResult.Committed(long version) ->
          handle(new LeaseEvent.WriteCommitted(rows, version, sentMs));
      case CommitResult.Conflict(List<Row> current) ->
          handle(new LeaseEvent.WriteRejected(rows, records(current)));
      case CommitResult.Failed(String reason) -> {
        LOG.warn("leases_not_written", "reason", reason, "rows", rows.size());
        handle(new LeaseEvent.CallFailed());
      }
    }
  }

  private static List<LeaseRecord> records(List<Row> rows) {
    return rows.stream()
        .map(
            row ->
                LeaseRecord.decode(
                    row.key(), new String(row.value(), StandardCharsets.UTF_8), row.version()))
        .toList();
  }

  private void feed(String id, SlotEvent event) {
    Owned engine = owned.get(id);
    if (engine == null) {
      return;
    }
    engine
        .slots
        .handle(event, ControlThread.nowMs())
        .forEach(action -> carryOut(id, engine, action));
  }

  private void carryOut(String id, Owned engine, SlotAction action) {
    switch (action) {
      case SlotAction.SendCommand send -> command(id, engine, send);
      case SlotAction.RequestReport ask -> askReport(id, engine);
      case SlotAction.Publish publish -> published.accept(id, publish.residency());
    }
  }

  private void askReport(String id, Owned engine) {
    engines
        .report(engine.target)
        .whenComplete(
            (report, failure) -> {
              if (failure == null) {
                LOG.info("engine_reported", "engine", id, "report", report);
                answer(id, engine, new SlotEvent.ReportReceived(report));
              } else {
                LOG.warn("engine_not_reported", "engine", id, "error", failure.toString());
                answer(id, engine, new SlotEvent.ReportFailed());
              }
            });
  }

  private void command(String id, Owned engine, SlotAction.SendCommand send) {
    // Checked on the thread that sends, immediately before the call.
    if (!leases.mayCommand(id, ControlThread.nowMs())) {
      answer(
          id, engine, new SlotEvent.CommandAnswered(CommandResult.REFUSED, send.commandNumber()));
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
              answer(id, engine, new SlotEvent.CommandAnswered(result, send.commandNumber()));
            });
  }

  private void answer(String id, Owned engine, SlotEvent event) {
    control.execute(
        () -> {
          if (owned.get(id) == engine) {
            feed(id, event);
          }
        });
  }
}
