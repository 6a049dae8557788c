package org.apricotstand.suspects;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.ForwardingSink;

/** Passes an answer on and reports once whether it was whole. */
final class TrialSink extends ForwardingSink {

  private final Consumer<Boolean> listener;
  private final AtomicBoolean ended = new AtomicBoolean();

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
  public void failed(Outcome outcome) {
    report(false);
    super.failed(outcome);
  }

  private void report(boolean whole) {
    if (ended.compareAndSet(false, true)) {
      listener.accept(whole);
    }
  }
}
