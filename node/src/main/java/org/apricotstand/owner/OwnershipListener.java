package org.apricotstand.owner;

import org.apricotstand.model.TargetId;

/** Listener for gained and lost ownership of engines; called on the control thread. */
public interface OwnershipListener {

  /**
   * Called when this instance gained the ownership of an engine.
   *
   * @param quarantined whether the adapters in the engine's slots must not be evicted yet, because
   *     the former owner may still run requests on them
   */
  void onOwnershipGained(TargetId target, boolean quarantined);

  /** Called when the adapters that were in the slots at the takeover may be evicted. */
  void onQuarantineEnded(TargetId target);

  /**
   * Called when this instance lost the ownership of an engine.
   *
   * @param reason code of the cause, for logs and failure details
   */
  void onOwnershipLost(TargetId target, String reason);
}
