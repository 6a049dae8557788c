package org.apricotstand.front;

/** Handles the requests of callers. */
public interface CallHandler {

  /**
   * Starts to handle a request. The answer goes to the reply, before or after this method returns.
   */
  ActiveCall handle(CallerRequest request, Reply reply);

  /** A request in progress. */
  interface ActiveCall {

    /** Called when the caller has disconnected; nothing more may be sent to it. */
    void onCallerDisconnected();

    /** Called when the connection of the caller is writable again. */
    void onCallerWritable();
  }
}
