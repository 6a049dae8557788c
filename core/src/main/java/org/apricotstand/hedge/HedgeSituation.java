package org.apricotstand.hedge;

import java.util.List;
import java.util.Set;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.route.Route;

/**
 * All that the decision about a hedge of one request depends on.
 *
 * @param route route of the request
 * @param runs attempts that have ended and may have run the request
 * @param answerBegun whether a byte of the answer has arrived
 * @param suspected whether the request may crash targets
 * @param serviceHasWaiting whether requests wait for a target of the service
 * @param firstTargetId target of the attempt in flight
 * @param excludedTargetIds targets that this request must not use again
 * @param adapter key of the adapter; null for a plain service
 * @param domain failure domain of this instance
 * @param candidates targets of the service
 */
public record HedgeSituation(
    Route route,
    int runs,
    boolean answerBegun,
    boolean suspected,
    boolean serviceHasWaiting,
    String firstTargetId,
    Set<String> excludedTargetIds,
    String adapter,
    String domain,
    List<Candidate> candidates) {

  /** Makes immutable copies. */
  public HedgeSituation {
    excludedTargetIds = Set.copyOf(excludedTargetIds);
    candidates = List.copyOf(candidates);
  }
}
