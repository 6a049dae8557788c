package org.apricotstand.claim;

import java.util.Optional;

/** How a {@link ClaimWrite} ended. */
public sealed interface WriteResult {

  /** It took effect; the row has this version. */
  record Written(long version) implements WriteResult {}

  /** It had no effect, because the row is another one. */
  record Conflict(Optional<StoredClaim> current) implements WriteResult {}

  /** It may have taken effect, now or later. */
  record Lost() implements WriteResult {}

  /** Nothing was sent to the table service. */
  record Unreachable() implements WriteResult {}
}
