package org.apricotstand.owner;

import org.apricotstand.engine.EngineRequest;
import org.apricotstand.model.Result;
import org.apricotstand.model.TargetId;

/** Watches over requests that may crash engines. Methods are called on the control thread. */
public interface RequestGuard {

  /** Decides whether a request is queued for an engine; a failure means that it was not run. */
  Result<EngineRequest> admit(TargetId target, EngineRequest request);

  /** Returns the sink for a request that is queued now. */
  AnswerSink queued(EngineRequest request, AnswerSink sink);

  /**
   * Returns the sink for a request that is sent to an engine now.
   *
   * @param incarnation incarnation of the engine as far as its owner knows
   */
  AnswerSink dispatched(
      TargetId target, String address, long incarnation, EngineRequest request, AnswerSink sink);
}
