package org.apricotstand.upstream;

/** Why a request has no complete answer of its target. */
public sealed interface SendFailure {

  /** Returns the cause in words. */
  String detail();

  /** No byte was sent. */
  record NotSent(String detail) implements SendFailure {}

  /** The request was sent and the connection ended without the end of an answer. */
  record ConnectionLost(String detail) implements SendFailure {}

  /** The target did not answer in the time that a repeat leaves it. */
  record Silent(String detail) implements SendFailure {}

  /** The target sent bytes that are not an answer. */
  record Malformed(String detail) implements SendFailure {}
}
