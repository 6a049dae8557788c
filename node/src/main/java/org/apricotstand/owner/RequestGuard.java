package org.apricotstand.owner;

import org.apricotstand.engine.EngineRequest;
import org.apricotstand.model.Result;
import org.apricotstand.model.TargetId;

/**
 * Detects requests that crash engines and restricts how they run. Methods are called on the control
 * thread.
 */
public interface RequestGuard {

  /** Returns the request to queue for an engine, or the failure with which it is refused. */
  Result<EngineRequest> admit(TargetId target, EngineRequest request);

  /** Called when a request is queued; returns the sink to use in place of the given one. */
  AnswerSink onQueued(EngineRequest request, AnswerSink sink);

  /**
   * Called when a request is sent to an engine; returns the sink to use in place of the given one.
   *
   * @param incarnation last known incarnation of the engine, which changes at every start
   */
  AnswerSink onDispatched(
      TargetId target, String address, long incarnation, EngineRequest request, AnswerSink sink);
}
