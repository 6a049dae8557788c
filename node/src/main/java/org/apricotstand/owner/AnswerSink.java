package org.apricotstand.owner;

import java.util.Map;
import org.apricotstand.model.Outcome;

/**
 * Receives the answer to one model request, on traffic threads, one call at a time. Exactly one of
 * {@link #end} and {@link #fail} is called, as the last call.
 */
public interface AnswerSink {

  /** Starts the answer. The adapter version that the engine reports has been checked before. */
  void writeHead(int status, Map<String, String> headers);

  /** Writes a part of the body. */
  void writePart(byte[] part);

  /** Ends an answer that is complete. */
  void end();

  /**
   * Ends the request without a complete answer.
   *
   * @param outcome any outcome except {@link Outcome.Answered}
   */
  void fail(Outcome outcome);

  /** Returns whether more parts can be written without growing a buffer. */
  boolean isWritable();

  /** Sets the listener that runs each time the sink becomes writable again. */
  void setWritableListener(Runnable listener);
}
