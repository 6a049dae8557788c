package org.apricotstand.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives an answer in parts, on a traffic thread. The last call is either {@link #onEnd} or
 * {@link #onFailure}, and only one of them is made.
 */
public interface ReplyListener {

  /** Receives the status and the headers. */
  void onHead(int status, HttpHeaders headers, ReplyControl control);

  /** Receives a part of the body. */
  void onPart(byte[] part);

  /** Called when the answer is complete. */
  void onEnd();

  /** Called when the answer has failed and no more of it will arrive. */
  void onFailure(CallFailure failure);
}
