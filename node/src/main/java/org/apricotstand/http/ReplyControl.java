package org.apricotstand.http;

/** Flow control of an answer that arrives in parts. */
public interface ReplyControl {

  /** Stops reading from the connection. */
  void suspend();

  /** Goes on reading. */
  void resume();

  /** Closes the connection; the listener sees a failure. */
  void cancel();
}
