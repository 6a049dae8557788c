package org.apricotstand.entry;

import java.util.function.IntConsumer;
import org.apricotstand.owner.AnswerSink;

/**
 * Flow control for an answer that an owner sends over a peer link. Returns credit to the owner for
 * the bytes that were forwarded, but only while the caller's connection accepts more.
 */
final class CreditWindow {

  /** Credit is returned in portions of at least this size, to send fewer messages. */
  private static final int RETURN_THRESHOLD_BYTES = RemoteOwnerClient.CREDIT_BYTES / 2;

  private final AnswerSink sink;
  private final IntConsumer returnCredit;

  /** Bytes that were forwarded and whose credit was not returned yet. */
  private int consumedBytes;

  CreditWindow(AnswerSink sink, IntConsumer returnCredit) {
    this.sink = sink;
    this.returnCredit = returnCredit;
    sink.setWritableListener(this::flush);
  }

  /** Records that a part of the answer was forwarded to the sink. */
  synchronized void recordConsumed(int bytes) {
    consumedBytes += bytes;
    if (sink.isWritable()) {
      flush();
    }
  }

  private synchronized void flush() {
    if (consumedBytes >= RETURN_THRESHOLD_BYTES) {
      int bytes = consumedBytes;
      consumedBytes = 0;
      returnCredit.accept(bytes);
    }
  }
}
