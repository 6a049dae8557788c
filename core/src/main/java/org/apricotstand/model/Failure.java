package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Why something failed, with the step and the peer at which it arose.
 *
 * @param step step on the path
 * @param peer name or address of the other side, or the own instance
 * @param code stable code of the failure, in lower case with underscores
 * @param detail one sentence for people
 */
public record Failure(Step step, String peer, String code, String detail) {

  /** Rejects missing parts. */
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
