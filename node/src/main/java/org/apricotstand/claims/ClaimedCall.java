package org.apricotstand.claims;

import java.util.function.Consumer;
import org.apricotstand.claim.ClaimEnding;
import org.apricotstand.claim.ClaimEvent;

/** What a claim does for its request. Methods are called on the control thread. */
public interface ClaimedCall {

  /**
   * Sends the request to a target; called at most once.
   *
   * @param ended takes one of {@link ClaimEvent.CallNotSent}, {@link ClaimEvent.CallAnswered} and
   *     {@link ClaimEvent.CallLost}, on any thread
   */
  void dispatch(Consumer<ClaimEvent> ended);

  /** Tells the caller the ending; called exactly once. */
  void finish(ClaimEnding ending);
}
