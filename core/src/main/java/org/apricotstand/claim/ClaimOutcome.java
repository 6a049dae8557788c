package org.apricotstand.claim;

import org.apricotstand.model.Failure;

/** Outcome of a claimed request for one attempt. */
public sealed interface ClaimOutcome {

  /** The request was run once; carries its answer. */
  record Answered(StoredAnswer answer) implements ClaimOutcome {}

  /** This attempt did not run the request and never will. */
  record NotRun(Failure failure) implements ClaimOutcome {}

  /** The request may have been run. */
  record Unknown(Failure failure) implements ClaimOutcome {}
}
