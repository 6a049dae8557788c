package org.apricotstand.entry;

import java.util.SplittableRandom;
import org.apricotstand.claims.ClaimService;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;

/**
 * The parts of an instance that serve calls to plain services.
 *
 * @param admission limits by caller and class, for model requests as well
 * @param claims claims of calls that must not be repeated
 * @param services route of calls
 */
record ServiceParts(Admission admission, ClaimService claims, ServiceRoute services) {

  private static final long RETRY_PAUSE_MS = 20;
  private static final long MAX_RETRY_PAUSE_MS = 500;

  /** Creates the parts and connects them with each other. */
  static ServiceParts create(InstanceBase base, SplittableRandom random) {
    Admission admission = new Admission(base.self(), base.control(), base.metrics());
    ClaimService claims =
        new ClaimService(
            base.self(),
            base.incarnation(),
            base.control(),
            base.peers(),
            base.platform(),
            base.metrics(),
            random.split());
    base.peers().listen(claims);
    RetryBudget budget = new RetryBudget(RetryBudget.DEFAULT_FRACTION, RetryBudget.DEFAULT_RESERVE);
    Backoff backoff = new Backoff(random.split(), RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
    ServiceCalls calls =
        new ServiceCalls(
            base.http(),
            base.control(),
            budget,
            backoff,
            base.metrics(),
            base.tracing(),
            base.settings().callerLimits().maxAnswerBytes());
    ServiceTargets targets =
        new ServiceTargets(base.settings().domain(), base.ownership()::isLeaving);
    return new ServiceParts(
        admission,
        claims,
        new ServiceRoute(base.configuration(), base.control(), admission, targets, calls, claims));
  }

  void register(Kernel kernel) {
    kernel.register("admission", admission);
    kernel.register("claims", claims);
    kernel.register("services", services);
  }
}
