package org.apricotstand.port;

import java.util.List;
import org.apricotstand.model.StoreVersion;

/** The result of a transaction of the table service. */
public sealed interface CommitResult {

  /** All writes took effect; {@code version} is the new version of the rows. */
  record Committed(StoreVersion version) implements CommitResult {}

  /**
   * A condition did not hold and no write took effect; {@code current} holds the rows that the
   * conditions name, as they are now.
   */
  record Conflict(List<Row> current) implements CommitResult {}

  /**
   * The outcome is unknown, or the service refused the call.
   *
   * @param reason readable description of the cause
   */
  record Failed(String reason) implements CommitResult {}
}
