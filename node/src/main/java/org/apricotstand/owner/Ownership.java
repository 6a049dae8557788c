package org.apricotstand.owner;

import java.util.Optional;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * Answers which instance owns an engine and what this instance may do with it. The queries may be
 * called from any thread.
 */
public interface Ownership {

  /**
   * Returns the last known owner of an engine. The result is empty if no owner is known, if the
   * owner does not respond, or if the platform lists the engine as leaving.
   */
  Optional<InstanceId> ownerOf(TargetId target);

  /** Returns the fencing token under which this instance owns the engine; 0 if it does not. */
  long fencingOf(TargetId target);

  /** Returns whether this instance may send requests to the engine now. */
  boolean mayDispatch(TargetId target);

  /** Returns whether this instance may send load and unload commands to the engine now. */
  boolean mayCommand(TargetId target);

  /**
   * Called when no request of this instance is left on an engine whose ownership it lost; on the
   * control thread.
   */
  default void onRequestsEnded(TargetId target) {}

  /**
   * Called when an owned engine reported its state; on the control thread.
   *
   * @param requestCount number of requests that run or wait at the engine
   */
  default void onEngineReported(TargetId target, int requestCount) {}
}
