package org.apricotstand.standin.engine;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.AdapterVersion;

/** Records the events and the batch statistics of an engine over all its incarnations. */
final class EngineEventLog {

  private final String engine;
  private final List<EngineEvent> events = new ArrayList<>();
  private long steps;
  private long sequenceSteps;

  EngineEventLog(String engine) {
    this.engine = engine;
  }

  synchronized void recordAdapterEvent(
      EngineEvent.Kind kind, long incarnation, String adapterVersion, int inUse) {
    events.add(
        new EngineEvent(
            ControlThread.nowMs(), kind, engine, incarnation, "", 0, "", adapterVersion, inUse));
  }

  synchronized void recordRequestEvent(EngineEvent.Kind kind, long incarnation, Sequence sequence) {
    AdapterVersion adapterVersion = sequence.adapterVersion();
    events.add(
        new EngineEvent(
            ControlThread.nowMs(),
            kind,
            engine,
            incarnation,
            sequence.requestId(),
            sequence.attempt(),
            sequence.user(),
            adapterVersion.toString(),
            0));
  }

  synchronized void recordStep(int runningSequences) {
    if (runningSequences > 0) {
      steps++;
      sequenceSteps += runningSequences;
    }
  }

  synchronized List<EngineEvent> events() {
    return List.copyOf(events);
  }

  synchronized BatchStatistics statistics(int maxBatch) {
    return new BatchStatistics(steps, sequenceSteps, maxBatch);
  }
}
