package org.apricotstand.entry;

import java.util.SplittableRandom;
import org.apricotstand.claims.ClaimService;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.settings.InstanceSettings;

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
  static ServiceParts create(
      InstanceSettings settings,
      long incarnation,
      ControlThread control,
      ConfigurationService configuration,
      PlatformClient platform,
      PeerNetwork peers,
      HttpCaller http,
      Metrics metrics) {
    InstanceId self = new InstanceId(settings.instance());
    SplittableRandom random = new SplittableRandom(incarnation ^ self.hashCode());
    Admission admission = new Admission(self, control, metrics);
    ClaimService claims =
        new ClaimService(self, incarnation, control, peers, platform, metrics, random.split());
    peers.listen(claims);
    RetryBudget budget = new RetryBudget(RetryBudget.DEFAULT_FRACTION, RetryBudget.DEFAULT_RESERVE);
    Backoff backoff = new Backoff(random.split(), RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
    configuration.onRevision(
        revision -> {
          admission.limitBy(revision.declarations().policy());
          budget.earn(revision.declarations().policy().retryBudgetRatio());
        });
    ServiceCalls calls = new ServiceCalls(http, control, budget, backoff, metrics);
    ServiceTargets targets = new ServiceTargets(settings.domain(), target -> false);
    return new ServiceParts(
        admission,
        claims,
        new ServiceRoute(configuration, control, admission, targets, calls, claims));
  }

  void register(Kernel kernel) {
    kernel.register("admission", admission);
    kernel.register("claims", claims);
    kernel.register("services", services);
  }
}
