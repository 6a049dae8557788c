package org.apricotstand.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.placement.EngineSet;
import org.apricotstand.placement.Placement;

/**
 * Chooses engines for requests and reports requests in progress and engine states to the placement.
 * Confined to the control thread, except for the sinks that {@link #trackRequest} returns and for
 * {@link #handleOnLinkThread}.
 */
final class EngineChooser implements PeerListener {

  private final ControlThread control;
  private final Placement placement;
  private final Predicate<TargetId> isLeaving;
  private final Map<String, EngineSet> enginesByModel = new HashMap<>();

  /** Number of the revision from which {@link #enginesByModel} was computed. */
  private long revisionNumber;

  /**
   * Creates a chooser.
   *
   * @param isLeaving whether an engine is leaving and receives no new requests
   */
  EngineChooser(ControlThread control, Placement placement, Predicate<TargetId> isLeaving) {
    this.control = control;
    this.placement = placement;
    this.isLeaving = isLeaving;
  }

  /**
   * Returns an engine for an adapter version, or an empty result if no engine is usable.
   *
   * @param model base model that the engine must serve
   * @param usable whether an engine may be chosen, for example because its owner is known; leaving
   *     engines are never chosen
   */
  Optional<TargetId> choose(
      AdapterVersion adapterVersion, String model, Revision revision, Predicate<TargetId> usable) {
    return placement.choose(
        adapterVersion,
        engines(model, revision),
        engine -> !isLeaving.test(engine) && usable.test(engine),
        ControlThread.nowMs());
  }

  /**
   * Counts a request as load of an engine until the returned sink gets the end of the answer or the
   * caller disconnects.
   */
  CompletionNotifyingSink trackRequest(TargetId target, AnswerSink sink) {
    placement.recordSent(target);
    return new CompletionNotifyingSink(
        sink, () -> control.execute(() -> placement.recordEnd(target)));
  }

  /**
   * Records the engine state that the last message of an answer carries. Returns false, so that the
   * message also goes to the listener for which it is meant.
   */
  @Override
  public boolean handleOnLinkThread(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.RouteEnd end -> control.execute(() -> recordEngineState(end.load()));
      case PeerMessage.RouteFailed failed ->
          control.execute(() -> recordEngineState(failed.load()));
      default -> {}
    }
    return false;
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {}

  /**
   * Records the load and resident adapters of an engine, as reported by its owner. Accepts null.
   */
  void recordEngineState(PeerMessage.TargetLoad load) {
    if (load == null) {
      return;
    }
    placement.recordEngineState(
        new TargetId(load.target()),
        load.waiting() + load.running(),
        load.resident().stream().map(AdapterVersion::parse).toList(),
        ControlThread.nowMs());
  }

  /** Returns the engines of a model; drops the state of engines that a new revision removed. */
  private EngineSet engines(String model, Revision revision) {
    if (revision.number() != revisionNumber) {
      revisionNumber = revision.number();
      enginesByModel.clear();
      placement.retain(
          EngineSet.of(
              revision.declarations().targets().stream().filter(Target::runsModel).toList()));
    }
    return enginesByModel.computeIfAbsent(
        model,
        name ->
            EngineSet.of(
                revision.declarations().targets().stream()
                    .filter(Target::runsModel)
                    .filter(engine -> engine.serves().equals(name))
                    .toList()));
  }
}
