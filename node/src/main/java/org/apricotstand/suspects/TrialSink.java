package org.apricotstand.suspects;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.ForwardingSink;

/** Forwards the answer to a suspect that runs alone and reports once whether it was complete. */
final class TrialSink extends ForwardingSink {

  private final Consumer<Boolean> listener;
  private final AtomicBoolean reported = new AtomicBoolean();

  TrialSink(AnswerSink sink, Consumer<Boolean> listener) {
    super(sink);
    this.listener = listener;
  }

  @Override
  public void end() {
    report(true);
    super.end();
  }

  @Override
  public void fail(Outcome outcome) {
    report(false);
    super.fail(outcome);
  }

  private void report(boolean isComplete) {
    if (reported.compareAndSet(false, true)) {
      listener.accept(isComplete);
    }
  }
}
