package org.apricotstand.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.ForwardingSink;

/** Forwards an answer and runs a listener once, when the request ended or was canceled. */
final class CompletionNotifyingSink extends ForwardingSink {

  private final Runnable listener;
  private final AtomicBoolean notified = new AtomicBoolean();

  CompletionNotifyingSink(AnswerSink sink, Runnable listener) {
    super(sink);
    this.listener = listener;
  }

  /** Runs the listener because the caller disconnected; the answer may never end. */
  void onCanceled() {
    notifyListener();
  }

  @Override
  public void end() {
    super.end();
    notifyListener();
  }

  @Override
  public void fail(Outcome outcome) {
    super.fail(outcome);
    notifyListener();
  }

  private void notifyListener() {
    if (notified.compareAndSet(false, true)) {
      listener.run();
    }
  }
}
