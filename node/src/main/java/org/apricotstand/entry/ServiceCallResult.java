package org.apricotstand.entry;

import org.apricotstand.http.HttpReply;
import org.apricotstand.model.Failure;

/** Result of a call to a plain service. */
sealed interface ServiceCallResult {

  /** A target sent a complete reply. */
  record Replied(HttpReply reply) implements ServiceCallResult {}

  /** No byte of the call was sent to a target, so the call did not run. */
  record NotSent(Failure failure) implements ServiceCallResult {}

  /** The call was sent, but no complete reply arrived; it may have run. */
  record OutcomeUnknown(Failure failure) implements ServiceCallResult {}
}
