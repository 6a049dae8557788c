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
 * Chooses engines for requests and keeps the placement informed about the requests in progress.
 * Confined to the control thread, but for the sinks that {@link #watch} returns.
 */
final class EngineChoice implements PeerListener {

  private final ControlThread control;
  private final Placement placement;
  private final Predicate<TargetId> leaving;
  private final Map<String, EngineSet> byModel = new HashMap<>();
  private long revisionNumber;

  /**
   * Creates the choice.
   *
   * @param leaving engines that receive no new work
   */
  EngineChoice(ControlThread control, Placement placement, Predicate<TargetId> leaving) {
    this.control = control;
    this.placement = placement;
    this.leaving = leaving;
  }

  /**
   * Returns the engine for an adapter version.
   *
   * @param usable excludes engines, such as those without a known owner; leaving ones are excluded
   *     anyway
   */
  Optional<TargetId> choose(
      AdapterVersion adapterVersion, String model, Revision revision, Predicate<TargetId> usable) {
    return placement.choose(
        adapterVersion,
        engines(model, revision),
        engine -> !leaving.test(engine) && usable.test(engine),
        ControlThread.nowMs());
  }

  /** Counts a request to an engine until its answer ends or its caller goes away. */
  CountedSink watch(TargetId target, AnswerSink sink) {
    placement.recordSent(target);
    return new CountedSink(sink, () -> control.execute(() -> placement.recordEnd(target)));
  }

  /** Learns from the end of each answer and leaves the message to its receiver. */
  @Override
  public boolean onTraffic(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.RouteEnd end -> control.execute(() -> learn(end.load()));
      case PeerMessage.RouteFailed failed -> control.execute(() -> learn(failed.load()));
      default -> {}
    }
    return false;
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {}

  /** Takes the load of an engine from its owner's reply. */
  void learn(PeerMessage.TargetLoad load) {
    if (load == null) {
      return;
    }
    placement.recordEngineState(
        new TargetId(load.target()),
        load.waiting() + load.running(),
        load.resident().stream().map(AdapterVersion::parse).toList(),
        ControlThread.nowMs());
  }

  private EngineSet engines(String model, Revision revision) {
    if (revision.number() != revisionNumber) {
      revisionNumber = revision.number();
      byModel.clear();
      placement.retain(
          EngineSet.of(
              revision.declarations().targets().stream().filter(Target::runsModel).toList()));
    }
    return byModel.computeIfAbsent(
        model,
        name ->
            EngineSet.of(
                revision.declarations().targets().stream()
                    .filter(Target::runsModel)
                    .filter(engine -> engine.serves().equals(name))
                    .toList()));
  }
}
