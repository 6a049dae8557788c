package org.apricotstand.model;

/** Final outcome of a request. Exactly one of the three variants applies. */
public sealed interface Outcome {

  /** The target answered and the caller received the whole answer. */
  record Answered() implements Outcome {}

  /** No target ran any part of the request, and none will. */
  record NotRun(Failure failure) implements Outcome {}

  /** A target may have run the request. */
  record OutcomeUnknown(Failure failure) implements Outcome {}
}
