package org.apricotstand.port;

import java.util.List;

/** How a transaction of the table service ended. */
public sealed interface CommitResult {

  /** All writes took effect; the rows have this version. */
  record Committed(long version) implements CommitResult {}

  /** No write took effect; these are the rows of the conditions as they are. */
  record Conflict(List<Row> current) implements CommitResult {}

  /**
   * The outcome is unknown, or the service refused the call.
   *
   * @param reason cause in words
   */
  record Failed(String reason) implements CommitResult {}
}
