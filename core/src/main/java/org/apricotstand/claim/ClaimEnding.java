package org.apricotstand.claim;

import org.apricotstand.model.Failure;

/** How a claimed request ended for one of its sendings. */
public sealed interface ClaimEnding {

  /** The request was run, once, and this is its answer. */
  record Answered(StoredAnswer answer) implements ClaimEnding {}

  /** This sending started nothing and never will. */
  record NotRun(Failure failure) implements ClaimEnding {}

  /** The request may have been run. */
  record Unknown(Failure failure) implements ClaimEnding {}
}
