package org.apricotstand.schedule;

import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;

/** Something that happened to an engine, its queue or its orders. */
public sealed interface SchedulerEvent {

  /** A request arrived. */
  record Submitted(ScheduledRequest request) implements SchedulerEvent {}

  /** The caller gave the request up. */
  record Canceled(RequestId id) implements SchedulerEvent {}

  /** The engine no longer runs the request, whatever the ending. */
  record Finished(RequestId id) implements SchedulerEvent {}

  /**
   * The engine refused a dispatched request because its adapter is not loaded; it ran no part of
   * it.
   */
  record NotLoaded(RequestId id) implements SchedulerEvent {}

  /** The engine confirmed a load order; {@code order} is the number of {@code Load}. */
  record LoadFinished(AdapterVersion adapterVersion, long order) implements SchedulerEvent {}

  /** A load order failed; the adapter is not loaded. */
  record LoadFailed(AdapterVersion adapterVersion, long order, Failure failure)
      implements SchedulerEvent {}

  /** The engine confirmed an unload order. */
  record UnloadFinished(AdapterVersion adapterVersion, long order) implements SchedulerEvent {}

  /** An unload order failed; the adapter may still be loaded. */
  record UnloadFailed(AdapterVersion adapterVersion, long order, Failure failure)
      implements SchedulerEvent {}

  /**
   * The engine reported its state.
   *
   * @param incarnation number that is new at every start of the engine
   * @param resident adapter versions in its slots
   * @param slots number of slots
   * @param maxBatch sequences it runs at once
   */
  record EngineReported(long incarnation, Set<AdapterVersion> resident, int slots, int maxBatch)
      implements SchedulerEvent {}

  /**
   * What the declarations say.
   *
   * @param pinnedAdapters names of the adapters that are never evicted
   * @param stallWeight 1 dispatches at once, 0 holds requests back until the batch is well filled
   */
  record Declared(Set<String> pinnedAdapters, double stallWeight) implements SchedulerEvent {}

  /** The engine does not answer. */
  record EngineLost(Failure failure) implements SchedulerEvent {}

  /**
   * The engine was taken over without a handover. Every adapter version that it holds, apart from
   * those that this owner loads itself, is in quarantine until {@link QuarantineEnded}: the former
   * owner may still run requests on it, so it is never evicted.
   */
  record Inherited() implements SchedulerEvent {}

  /** The former owner runs nothing more on the engine; inherited slots may be evicted. */
  record QuarantineEnded() implements SchedulerEvent {}

  /**
   * Whether loads and evictions may be ordered. While they may not, resident adapters are served.
   */
  record CommandsAllowed(boolean allowed) implements SchedulerEvent {}

  /**
   * This instance no longer owns the engine. What waits is refused as not run, and the scheduler
   * orders nothing more, whatever follows; it only awaits the end of what runs.
   */
  record OwnershipLost(Failure failure) implements SchedulerEvent {}

  /** Time passed. */
  record Tick() implements SchedulerEvent {}
}
