package org.apricotstand.entry;

import java.util.SplittableRandom;
import org.apricotstand.claims.ClaimService;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;

/**
 * Components of an instance that serve calls to plain services.
 *
 * @param admission admits calls, and model requests as well, within their limits
 * @param claims claims calls that must run at most once
 * @param requestHandler handles calls of callers
 */
record ServiceComponents(
    Admission admission, ClaimService claims, ServiceRequestHandler requestHandler) {

  private static final long RETRY_PAUSE_MS = 20;
  private static final long MAX_RETRY_PAUSE_MS = 500;

  /** Creates the components and connects them with each other. */
  static ServiceComponents create(SharedComponents shared, SplittableRandom random) {
    Admission admission = new Admission(shared.self(), shared.control(), shared.metrics());
    ClaimService claims =
        new ClaimService(
            shared.self(),
            shared.incarnation(),
            shared.control(),
            shared.peers(),
            shared.platform(),
            shared.metrics(),
            random.split());
    shared.peers().addListener(claims);
    RetryBudget budget = new RetryBudget(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_RESERVE);
    Backoff backoff = new Backoff(random.split(), RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
    ServiceCallSender callSender =
        new ServiceCallSender(
            shared.http(),
            shared.control(),
            budget,
            backoff,
            shared.metrics(),
            shared.tracing(),
            shared.settings().callerLimits().maxAnswerBytes());
    ServiceTargets targets =
        new ServiceTargets(shared.settings().domain(), shared.ownership()::isLeaving);
    return new ServiceComponents(
        admission,
        claims,
        new ServiceRequestHandler(
            shared.configuration(), shared.control(), admission, targets, callSender, claims));
  }

  void register(Kernel kernel) {
    kernel.register("admission", admission);
    kernel.register("claims", claims);
    kernel.register("services", requestHandler);
  }
}
