package org.apricotstand.claim;

import java.util.Optional;

/** Result of a {@link ClaimWrite}. */
public sealed interface WriteResult {

  /** The write took effect; the row now has the given version. */
  record Written(long version) implements WriteResult {}

  /**
   * The write had no effect, because the row does not have the expected version.
   *
   * @param current the row, or empty if it does not exist
   */
  record Conflict(Optional<StoredClaim> current) implements WriteResult {}

  /** The write may have taken effect or may still do so. */
  record OutcomeUnknown() implements WriteResult {}

  /** The write was not sent to the table service. */
  record Unreachable() implements WriteResult {}
}
