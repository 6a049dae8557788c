package org.apricotstand.entry;

import java.util.SplittableRandom;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.placement.Placement;

/**
 * Components of an instance that receive model requests from callers and send them to owners.
 *
 * @param remoteOwners sends requests to owners on other instances
 * @param requestHandler handles model requests of callers
 */
record ModelComponents(RemoteOwnerClient remoteOwners, ModelRequestHandler requestHandler) {

  private static final long RETRY_PAUSE_MS = 20;
  private static final long MAX_RETRY_PAUSE_MS = 500;

  /** Creates the components and connects them with each other. */
  static ModelComponents create(
      SharedComponents shared,
      OwnerComponents ownerComponents,
      Admission admission,
      Placement placement,
      SplittableRandom random) {
    EngineChooser chooser =
        new EngineChooser(shared.control(), placement, shared.ownership()::isLeaving);
    shared.peers().addListener(chooser);
    RemoteOwnerClient remoteOwners = new RemoteOwnerClient(shared.peers());
    shared.peers().addListener(remoteOwners);
    ModelCall.Dependencies dependencies =
        new ModelCall.Dependencies(
            shared.self(),
            shared.control(),
            shared.ownership(),
            shared.ownership()::isLeaving,
            ownerComponents.owner(),
            remoteOwners,
            chooser,
            new RetryBudget(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_RESERVE),
            new Backoff(random.split(), RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS),
            shared.metrics(),
            shared.tracing());
    ModelRequestHandler requestHandler =
        new ModelRequestHandler(
            shared.incarnation(),
            shared.configuration(),
            admission,
            ownerComponents.suspects(),
            dependencies);
    return new ModelComponents(remoteOwners, requestHandler);
  }

  void register(Kernel kernel) {
    kernel.register("remote-answers", remoteOwners);
    kernel.register("models", requestHandler);
  }
}
