package org.apricotstand.front;

/** Answers requests of callers. */
public interface CallHandler {

  /** Answers a request, at once or later. */
  ActiveCall handle(CallerRequest request, Reply reply);

  /** A request in progress. */
  interface ActiveCall {

    /** The caller is gone; nothing may be sent for it any more. */
    void callerGone();

    /** The caller takes bytes again. */
    void callerWritable();
  }
}
