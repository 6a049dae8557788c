package org.apricotstand.route;

/** What may be repeated of a request. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT,
  /** Runs at most once and is answered by a series of events. */
  STREAM
}
