package org.apricotstand.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives an answer in parts, on a traffic thread. Exactly one of {@link #onEnd} and {@link
 * #onFailure} is called, last.
 */
public interface ReplyListener {

  /** The status and headers arrived. */
  void onHead(int status, HttpHeaders headers, ReplyControl control);

  /** A part of the body arrived. */
  void onPart(byte[] part);

  /** The answer is complete. */
  void onEnd();

  /** The answer is not complete and never will be. */
  void onFailure(CallFailure failure);
}
