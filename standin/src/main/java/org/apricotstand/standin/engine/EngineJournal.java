package org.apricotstand.standin.engine;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.AdapterVersion;

/** Events of an engine over all its incarnations, and its batch statistics. */
final class EngineJournal {

  private final String engine;
  private final List<EngineEvent> events = new ArrayList<>();
  private long steps;
  private long sequenceSteps;

  EngineJournal(String engine) {
    this.engine = engine;
  }

  synchronized void adapter(EngineEvent.Kind kind, long incarnation, String adapter, int inUse) {
    events.add(
        new EngineEvent(
            ControlThread.nowMs(), kind, engine, incarnation, "", 0, "", adapter, inUse));
  }

  synchronized void request(EngineEvent.Kind kind, long incarnation, Sequence sequence) {
    AdapterVersion adapter = sequence.adapterVersion();
    events.add(
        new EngineEvent(
            ControlThread.nowMs(),
            kind,
            engine,
            incarnation,
            sequence.requestId(),
            sequence.attempt(),
            sequence.user(),
            adapter.toString(),
            0));
  }

  synchronized void step(int running) {
    if (running > 0) {
      steps++;
      sequenceSteps += running;
    }
  }

  synchronized List<EngineEvent> events() {
    return List.copyOf(events);
  }

  synchronized BatchStatistics statistics(int maxBatch) {
    return new BatchStatistics(steps, sequenceSteps, maxBatch);
  }
}
