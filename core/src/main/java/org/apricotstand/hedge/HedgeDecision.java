package org.apricotstand.hedge;

import org.apricotstand.dispatch.Candidate;

/** Whether a request that is late gets a second attempt, and where. */
public sealed interface HedgeDecision {

  /** A second attempt may be sent to the target. */
  record Send(Candidate candidate) implements HedgeDecision {}

  /** No second attempt is sent. */
  record Refused(Reason reason) implements HedgeDecision {}

  /** Why no second attempt is sent. */
  enum Reason {
    /** The request must not run twice, or its route allows no further attempt. */
    NOT_REPEATABLE,
    /** A byte of the answer has arrived. */
    ANSWER_BEGUN,
    /** The request may crash targets. */
    SUSPECTED,
    /** Requests wait for a target of the service, or a target that could run the hedge is full. */
    SHORT_OF_CAPACITY,
    /** No other target can run the request now. */
    NO_TARGET,
    /** The limit on the share of hedges is reached. */
    LIMIT,
    /** The retry budget of the service is exhausted. */
    RETRY_BUDGET,
    /** The quota of the tenant has no room for a second run. */
    QUOTA
  }
}
