package org.apricotstand.owner;

import java.util.Optional;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** Who owns which engine. Methods may be called from any thread. */
public interface Ownership {

  /**
   * Returns the owner of an engine as far as this instance knows; nothing when the owner is silent
   * or the platform lists the engine as leaving.
   */
  Optional<InstanceId> ownerOf(TargetId target);

  /** Returns the fencing number under which this instance owns the engine. */
  long fencingOf(TargetId target);

  /** Returns whether this instance may send requests to the engine at this moment. */
  boolean mayDispatch(TargetId target);

  /** Returns whether this instance may order loads and evictions at this moment. */
  boolean mayCommand(TargetId target);

  /** No request of this instance is left on an engine that it lost; on the control thread. */
  default void requestsEnded(TargetId target) {}

  /** An owned engine reported how many requests it runs; on the control thread. */
  default void engineReported(TargetId target, int running) {}
}
