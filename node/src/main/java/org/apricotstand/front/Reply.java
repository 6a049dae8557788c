package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** How a request is answered; belongs to the traffic thread. */
public interface Reply {

  /**
   * Answers with a failure of this system.
   *
   * @param retryAfterMs when the caller may come back; 0 to say nothing
   */
  void fail(int status, String code, long retryAfterMs);

  /** Passes on the head of a target's answer. */
  void head(HttpResponse head);

  /** Passes on a part of the body; the buffer belongs to the sender of the call. */
  void part(ByteBuf part);

  /** Ends a complete answer. */
  void end();

  /** Ends an answer that stays incomplete, so that the caller sees it. */
  void abort();

  /** Returns whether the caller takes more bytes without growing a buffer. */
  boolean isWritable();
}
