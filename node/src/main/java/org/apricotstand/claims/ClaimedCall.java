package org.apricotstand.claims;

import java.util.function.Consumer;
import org.apricotstand.claim.ClaimEvent;
import org.apricotstand.claim.ClaimOutcome;

/** Request of a caller that {@link ClaimService} runs. Methods are called on the control thread. */
public interface ClaimedCall {

  /**
   * Sends the request to a target. Called at most once.
   *
   * @param listener receives one of {@link ClaimEvent.CallNotSent}, {@link ClaimEvent.CallAnswered}
   *     and {@link ClaimEvent.CallOutcomeUnknown}, on any thread
   */
  void dispatch(Consumer<ClaimEvent> listener);

  /** Sends the outcome to the caller. Called exactly once. */
  void finish(ClaimOutcome outcome);
}
