package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to a request; used on the traffic thread only. */
public interface Reply {

  /**
   * Answers with a failure that this instance reports, and ends the answer.
   *
   * @param status HTTP status
   * @param code error code in the body
   * @param retryAfterMs time after which the caller may retry; 0 to send no such header
   */
  void fail(int status, String code, long retryAfterMs);

  /**
   * Writes the status and headers of a target's answer. A body without a length leaves in chunks,
   * which callers of HTTP/1.0 do not understand.
   */
  void writeHead(HttpResponse head);

  /**
   * Writes a part of the body, which leaves with the next {@link #flush} or the end of the answer.
   * The buffer stays with the calling code, which releases it.
   */
  void writePart(ByteBuf part);

  /** Sends the parts that were written. */
  void flush();

  /** Ends an answer that is complete. */
  void end();

  /** Breaks off an answer that cannot be completed, in a way that the caller can detect. */
  void abort();

  /** Returns whether more bytes can be written without growing the send buffer. */
  boolean isWritable();
}
