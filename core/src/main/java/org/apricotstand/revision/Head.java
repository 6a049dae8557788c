package org.apricotstand.revision;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An accepted revision.
 *
 * @param revision number; only greater numbers come into force
 * @param contentHash name of the content in the object store
 * @param nonce random text by which the operator who applied it recognizes it
 */
public record Head(long revision, String contentHash, String nonce) {

  /** Rejects missing parts. */
  public Head {
    checkArgument(revision > 0, "invalid revision: %s", revision);
    checkArgument(contentHash != null && !contentHash.isEmpty(), "missing content hash");
    checkArgument(nonce != null && !nonce.isEmpty(), "missing nonce");
  }
}
