package org.apricotstand.entry;

import java.util.Map;
import java.util.function.Consumer;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;

/**
 * Takes the answer of one attempt. Before the first byte went to the caller, a failure goes to a
 * listener that may start another attempt; from then on, nothing of this attempt passes any more.
 */
final class AttemptSink implements AnswerSink {

  private final AnswerSink caller;
  private final Runnable ended;
  private final Consumer<Outcome> failedEarly;
  private boolean started;
  private boolean closed;

  /**
   * Creates a sink.
   *
   * @param ended runs when the caller's answer has ended
   * @param failedEarly takes the failure of an attempt of which the caller has seen nothing
   */
  AttemptSink(AnswerSink caller, Runnable ended, Consumer<Outcome> failedEarly) {
    this.caller = caller;
    this.ended = ended;
    this.failedEarly = failedEarly;
  }

  @Override
  public synchronized void head(int status, Map<String, String> headers) {
    if (!closed) {
      started = true;
      caller.head(status, headers);
    }
  }

  @Override
  public synchronized void part(byte[] part) {
    if (!closed) {
      caller.part(part);
    }
  }

  @Override
  public synchronized void end() {
    if (!closed) {
      closed = true;
      caller.end();
      ended.run();
    }
  }

  @Override
  public synchronized void failed(Outcome outcome) {
    if (closed) {
      return;
    }
    closed = true;
    if (started) {
      caller.failed(outcome);
      ended.run();
    } else {
      failedEarly.accept(outcome);
    }
  }

  @Override
  public boolean isReady() {
    return caller.isReady();
  }

  @Override
  public void onReady(Runnable listener) {
    caller.onReady(listener);
  }
}
