package org.apricotstand.http;

/**
 * Why an {@link HttpCall} has no whole answer.
 *
 * @param sent whether a byte of the request may have reached the other side
 * @param code connect_failed, timeout, connection_lost or answer_too_large
 * @param detail cause in words
 */
public record CallFailure(boolean sent, String code, String detail) {

  /** No connection could be opened. */
  public static final String CONNECT_FAILED = "connect_failed";

  /** The deadline passed. */
  public static final String TIMEOUT = "timeout";

  /** The connection broke after the request was sent. */
  public static final String CONNECTION_LOST = "connection_lost";
}
