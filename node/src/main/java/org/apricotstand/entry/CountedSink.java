package org.apricotstand.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.ForwardingSink;

/** Passes an answer on and runs a listener once, when the request has ended in any way. */
final class CountedSink extends ForwardingSink {

  private final Runnable listener;
  private final AtomicBoolean ended = new AtomicBoolean();

  CountedSink(AnswerSink sink, Runnable listener) {
    super(sink);
    this.listener = listener;
  }

  /** Notes that the caller no longer wants the answer. */
  void canceled() {
    ended();
  }

  @Override
  public void end() {
    super.end();
    ended();
  }

  @Override
  public void failed(Outcome outcome) {
    super.failed(outcome);
    ended();
  }

  private void ended() {
    if (ended.compareAndSet(false, true)) {
      listener.run();
    }
  }
}
