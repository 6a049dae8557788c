package org.apricotstand.http;

/** Which connection a call may use, and which calls may use it afterwards. */
public enum ConnectionUse {
  /** A pooled connection, which goes back to the pool. */
  SHARED,
  /**
   * A pooled connection, which goes back to the pool unless the call is refused. A faulty server
   * may write a refusal once more, and it would pass for the answer to the next call.
   */
  SHARED_UNTIL_REFUSAL,
  /**
   * A pooled connection that only calls of this kind use, so that a late answer to another call
   * can't pass for theirs.
   */
  SHARED_BY_COMMANDS,
  /** A new connection, which is closed afterwards. */
  OWN
}
