package org.apricotstand.entry;

import java.util.function.IntConsumer;
import org.apricotstand.owner.AnswerSink;

/** Returns credit to the owner as the caller takes the answer. */
final class CreditWindow {

  private static final int RETURN_BYTES = RemoteAnswers.CREDIT_BYTES / 2;

  private final AnswerSink sink;
  private final IntConsumer returnCredit;
  private int consumedBytes;

  CreditWindow(AnswerSink sink, IntConsumer returnCredit) {
    this.sink = sink;
    this.returnCredit = returnCredit;
    sink.onReady(this::flush);
  }

  synchronized void consumed(int bytes) {
    consumedBytes += bytes;
    if (sink.isReady()) {
      flush();
    }
  }

  private synchronized void flush() {
    if (consumedBytes >= RETURN_BYTES) {
      int bytes = consumedBytes;
      consumedBytes = 0;
      returnCredit.accept(bytes);
    }
  }
}
