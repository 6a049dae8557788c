package org.apricotstand.route;

/** Whether a request may run more than once, and whether its answer is a stream. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Must run at most once. */
  NON_IDEMPOTENT,
  /** Must run at most once and is answered by a stream of server-sent events. */
  STREAM
}
