package org.apricotstand.entry;

import org.apricotstand.http.HttpReply;
import org.apricotstand.model.Failure;

/** How a call to a plain service ended. */
sealed interface ServiceEnd {

  /** A target answered. */
  record Replied(HttpReply reply) implements ServiceEnd {}

  /** No byte of the call went to a target, and none will. */
  record NotSent(Failure failure) implements ServiceEnd {}

  /** The call was sent and its whole answer did not arrive. */
  record Lost(Failure failure) implements ServiceEnd {}
}
