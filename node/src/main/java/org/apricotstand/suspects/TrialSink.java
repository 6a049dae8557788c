package org.apricotstand.suspects;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/** Passes an answer on and reports once whether it was whole. */
final class TrialSink implements AnswerSink {

  private final AnswerSink sink;
  private final Consumer<Boolean> listener;
  private final AtomicBoolean ended = new AtomicBoolean();

  TrialSink(AnswerSink sink, Consumer<Boolean> listener) {
    this.sink = sink;
    this.listener = listener;
  }

  @Override
  public void head(int status, Map<String, String> headers) {
    sink.head(status, headers);
  }

  @Override
  public void part(byte[] part) {
    sink.part(part);
  }

  @Override
  public void end() {
    report(true);
    sink.end();
  }

  @Override
  public void failed(Outcome outcome) {
    report(false);
    sink.failed(outcome);
  }

  private void report(boolean whole) {
    if (ended.compareAndSet(false, true)) {
      listener.accept(whole);
    }
  }

  @Override
  public boolean isReady() {
    return sink.isReady();
  }

  @Override
  public void onReady(Runnable ready) {
    sink.onReady(ready);
  }
}
