package org.apricotstand.model;

/** How a request ended. The three endings are never confused with each other. */
public sealed interface Outcome {

  /** The target answered and the caller received the whole answer. */
  record Answered() implements Outcome {}

  /** No target ran any part of the request, and none will. */
  record NotRun(Failure failure) implements Outcome {}

  /** A target may have run the request. */
  record OutcomeUnknown(Failure failure) implements Outcome {}
}
