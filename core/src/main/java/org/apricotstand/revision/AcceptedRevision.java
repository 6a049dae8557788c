package org.apricotstand.revision;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies an accepted revision.
 *
 * @param revision number of the revision; an instance only activates greater numbers than the
 *     active one
 * @param contentHash name of the content in the object store
 * @param nonce random text by which the attempt that applied the revision recognizes it
 */
public record AcceptedRevision(long revision, String contentHash, String nonce) {

  /** Throws {@link IllegalArgumentException} if a component is missing or not positive. */
  public AcceptedRevision {
    checkArgument(revision > 0, "invalid revision: %s", revision);
    checkArgument(contentHash != null && !contentHash.isEmpty(), "missing content hash");
    checkArgument(nonce != null && !nonce.isEmpty(), "missing nonce");
  }
}
