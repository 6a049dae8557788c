package org.apricotstand.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of a target in parts, on the traffic thread. */
public interface AnswerListener {

  /** The head of the answer to this request arrived. */
  void onHead(HttpResponse head);

  /** A part of the body arrived; the buffer is released after the call. */
  void onPart(ByteBuf part);

  /** The answer is complete. */
  void onEnd();

  /** There will be no complete answer. */
  void onBroken(SendFailure failure);
}
