package org.apricotstand.owner;

import java.util.Map;
import org.apricotstand.model.Outcome;

/** Passes an answer on; subclasses add to single steps. */
public abstract class ForwardingSink implements AnswerSink {

  private final AnswerSink sink;

  /** Passes answers to the given sink. */
  protected ForwardingSink(AnswerSink sink) {
    this.sink = sink;
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
  }

  @Override
  public void failed(Outcome outcome) {
    sink.failed(outcome);
  }

  @Override
  public boolean isReady() {
    return sink.isReady();
  }

  @Override
  public void onReady(Runnable listener) {
    sink.onReady(listener);
  }
}
