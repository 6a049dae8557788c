package org.apricotstand.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the parts of a target's answer, on the traffic thread. */
public interface AnswerListener {

  /** Called when the status and headers arrived. */
  void onHead(HttpResponse head);

  /** Called when a part of the body arrived; the buffer is released after the call. */
  void onPart(ByteBuf part);

  /** Called when all parts that arrived together were passed to {@link #onPart}. */
  void onReadComplete();

  /** Called when the answer is complete. */
  void onEnd();

  /** Called when the request ends without a complete answer. */
  void onFailure(SendFailure failure);
}
