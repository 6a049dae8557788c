package org.apricotstand.http;

/**
 * The reason why an {@link HttpCall} got no complete answer.
 *
 * @param maybeSent whether a part of the request may have reached the other side
 * @param code one of the constants below, {@code answer_too_large}, or a code of the reporting
 *     class
 * @param detail readable description of the cause
 */
public record CallFailure(boolean maybeSent, String code, String detail) {

  /** No connection could be opened. */
  public static final String CONNECT_FAILED = "connect_failed";

  /** The deadline passed. */
  public static final String TIMEOUT = "timeout";

  /** The connection broke after the request was sent. */
  public static final String CONNECTION_LOST = "connection_lost";

  /** The connection broke after the request was canceled, which makes the other side close it. */
  public static final String CANCELED = "canceled";
}
