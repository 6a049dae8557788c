package org.apricotstand.owner;

import org.apricotstand.model.TargetId;

/** Learns which engines this instance owns. Methods are called on the control thread. */
public interface OwnershipListener {

  /**
   * This instance owns an engine from now on.
   *
   * @param quarantined whether adapters found in its slots must not be evicted yet
   */
  void gained(TargetId target, boolean quarantined);

  /** The slots that were found may be evicted. */
  void quarantineEnded(TargetId target);

  /** This instance no longer owns an engine. */
  void lost(TargetId target, String reason);
}
