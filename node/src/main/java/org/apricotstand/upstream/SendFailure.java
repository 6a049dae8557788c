package org.apricotstand.upstream;

/** The reason why a request got no complete answer from its target. */
public sealed interface SendFailure {

  /** Returns a readable description of the cause. */
  String detail();

  /** No byte of the request was sent. */
  record NotSent(String detail) implements SendFailure {}

  /** The request was sent and the connection ended before the answer was complete. */
  record ConnectionLost(String detail) implements SendFailure {}

  /** The target did not answer early enough to leave time for a retry. */
  record Silent(String detail) implements SendFailure {}

  /** The target sent bytes that are not a valid HTTP response. */
  record Malformed(String detail) implements SendFailure {}
}
