package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes why an operation failed, and the step and the peer at which it did.
 *
 * @param step step of the request path at which the operation failed
 * @param peer name or address of the remote side, or the name of this instance
 * @param code stable identifier of the kind of failure, in lower case with underscores
 * @param detail human-readable message of one sentence
 */
public record Failure(Step step, String peer, String code, String detail) {

  /** Rejects null components. */
  public Failure {
    checkNotNull(step);
    checkNotNull(peer);
    checkNotNull(code);
    checkNotNull(detail);
  }

  @Override
  public String toString() {
    return code + " at " + step + " of " + peer + ": " + detail;
  }
}
