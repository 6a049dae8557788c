package org.apricotstand.owner;

import java.util.Map;
import org.apricotstand.model.Outcome;

/** Forwards an answer to another sink; subclasses override the calls that they extend. */
public abstract class ForwardingSink implements AnswerSink {

  private final AnswerSink sink;

  /** Creates a sink that forwards to the given one. */
  protected ForwardingSink(AnswerSink sink) {
    this.sink = sink;
  }

  @Override
  public void writeHead(int status, Map<String, String> headers) {
    sink.writeHead(status, headers);
  }

  @Override
  public void writePart(byte[] part) {
    sink.writePart(part);
  }

  @Override
  public void end() {
    sink.end();
  }

  @Override
  public void fail(Outcome outcome) {
    sink.fail(outcome);
  }

  @Override
  public boolean isWritable() {
    return sink.isWritable();
  }

  @Override
  public void setWritableListener(Runnable listener) {
    sink.setWritableListener(listener);
  }
}
