package org.apricotstand.entry;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/** Passes an answer on and runs a listener once, when the request has ended in any way. */
final class CountedSink implements AnswerSink {

  private final AnswerSink sink;
  private final Runnable listener;
  private final AtomicBoolean ended = new AtomicBoolean();

  CountedSink(AnswerSink sink, Runnable listener) {
    this.sink = sink;
    this.listener = listener;
  }

  /** Notes that the caller no longer wants the answer. */
  void canceled() {
    ended();
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
    sink.end();
    ended();
  }

  @Override
  public void failed(Outcome outcome) {
    sink.failed(outcome);
    ended();
  }

  @Override
  public boolean isReady() {
    return sink.isReady();
  }

  @Override
  public void onReady(Runnable ready) {
    sink.onReady(ready);
  }

  private void ended() {
    if (ended.compareAndSet(false, true)) {
      listener.run();
    }
  }
}
