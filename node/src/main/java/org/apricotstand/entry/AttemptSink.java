package org.apricotstand.entry;

import java.util.Map;
import java.util.function.Consumer;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/**
 * Forwards the answer of one attempt to the caller. A failure before the head of the answer was
 * forwarded goes to a listener instead, which may start another attempt. After its end or failure,
 * the sink drops whatever still arrives from this attempt.
 */
final class AttemptSink implements AnswerSink {

  private final AnswerSink callerSink;
  private final Runnable onEnd;
  private final Consumer<Outcome> onEarlyFailure;
  private boolean headSent;
  private boolean closed;

  /**
   * Creates a sink.
   *
   * @param callerSink sink of the caller
   * @param onEnd runs when the answer to the caller has ended, whether or not it is complete
   * @param onEarlyFailure receives the failure of an attempt of which the caller got no byte
   */
  AttemptSink(AnswerSink callerSink, Runnable onEnd, Consumer<Outcome> onEarlyFailure) {
    this.callerSink = callerSink;
    this.onEnd = onEnd;
    this.onEarlyFailure = onEarlyFailure;
  }

  @Override
  public synchronized void writeHead(int status, Map<String, String> headers) {
    if (!closed) {
      headSent = true;
      callerSink.writeHead(status, headers);
    }
  }

  @Override
  public synchronized void writePart(byte[] part) {
    if (!closed) {
      callerSink.writePart(part);
    }
  }

  @Override
  public synchronized void end() {
    if (!closed) {
      closed = true;
      callerSink.end();
      onEnd.run();
    }
  }

  @Override
  public synchronized void fail(Outcome outcome) {
    if (closed) {
      return;
    }
    closed = true;
    if (headSent) {
      callerSink.fail(outcome);
      onEnd.run();
    } else {
      onEarlyFailure.accept(outcome);
    }
  }

  @Override
  public boolean isWritable() {
    return callerSink.isWritable();
  }

  @Override
  public void setWritableListener(Runnable listener) {
    callerSink.setWritableListener(listener);
  }
}
