package org.apricotstand.http;

/** Flow control of an answer that arrives in parts. */
public interface ReplyControl {

  /** Stops reading from the connection. */
  void suspend();

  /** Resumes reading after {@link #suspend}. */
  void resume();

  /** Closes the connection; the listener is told of a failure. */
  void cancel();
}
