package org.apricotstand.schedule;

import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;

/** Input of {@link TargetScheduler}: a change of an engine, its queue or its commands. */
public sealed interface SchedulerEvent {

  /** A request arrived. */
  record RequestSubmitted(ScheduledRequest request) implements SchedulerEvent {}

  /** The caller canceled the request. */
  record RequestCanceled(RequestId id) implements SchedulerEvent {}

  /** The engine no longer runs the request, whatever its outcome. */
  record RequestFinished(RequestId id) implements SchedulerEvent {}

  /** The engine refused a dispatched request, without running it: its adapter is not loaded. */
  record AdapterNotLoaded(RequestId id) implements SchedulerEvent {}

  /** The engine confirmed a load; the command id is that of {@link SchedulerAction.Load}. */
  record LoadFinished(AdapterVersion adapterVersion, long commandId) implements SchedulerEvent {}

  /** A load failed; the adapter is not loaded. */
  record LoadFailed(AdapterVersion adapterVersion, long commandId, Failure failure)
      implements SchedulerEvent {}

  /** The engine confirmed an unload. */
  record UnloadFinished(AdapterVersion adapterVersion, long commandId) implements SchedulerEvent {}

  /** An unload failed; the adapter may still be loaded. */
  record UnloadFailed(AdapterVersion adapterVersion, long commandId, Failure failure)
      implements SchedulerEvent {}

  /**
   * The engine reported its state.
   *
   * @param incarnation identifier that differs for each start of the engine
   * @param resident adapter versions in its slots
   * @param slots number of slots
   * @param maxBatch maximum number of sequences that it runs at once
   */
  record EngineReported(long incarnation, Set<AdapterVersion> resident, int slots, int maxBatch)
      implements SchedulerEvent {}

  /**
   * The active declarations changed.
   *
   * @param pinnedAdapters names of the adapters that are never evicted
   * @param stallWeight from 1, which dispatches at once, to 0, which holds requests back longest to
   *     fill the batch
   */
  record DeclarationsChanged(Set<String> pinnedAdapters, double stallWeight)
      implements SchedulerEvent {}

  /** The engine does not answer; nothing is dispatched or loaded until it reports again. */
  record EngineLost(Failure failure) implements SchedulerEvent {}

  /**
   * The engine was taken over without a handover. The adapter versions that it holds, except those
   * that this owner loads itself, are in quarantine until {@link QuarantineEnded}. They are not
   * evicted in that time because the former owner may still run requests on them.
   */
  record QuarantineStarted() implements SchedulerEvent {}

  /** The former owner no longer runs requests on the engine; its slots may be evicted again. */
  record QuarantineEnded() implements SchedulerEvent {}

  /**
   * Loads and evictions are allowed or not. Requests for resident adapters are dispatched either
   * way.
   */
  record CommandsAllowed(boolean allowed) implements SchedulerEvent {}

  /**
   * This instance no longer owns the engine. Waiting requests are refused as not run. From now on
   * the scheduler dispatches and loads nothing and only waits for the end of running requests.
   */
  record OwnershipLost(Failure failure) implements SchedulerEvent {}

  /** Time has passed: deadlines, backoff and held requests are checked again. */
  record Tick() implements SchedulerEvent {}
}
