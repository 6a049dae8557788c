package org.apricotstand.entry;

import java.util.SplittableRandom;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.placement.Placement;

/**
 * The parts of an instance that serve the caller side of model requests.
 *
 * @param remote answers that arrive over peer links
 * @param route route of model requests
 */
record ModelParts(RemoteAnswers remote, ModelRoute route) {

  private static final long RETRY_PAUSE_MS = 20;
  private static final long MAX_RETRY_PAUSE_MS = 500;

  /** Creates the parts and connects them with each other. */
  static ModelParts create(
      InstanceBase base,
      OwnerParts owning,
      Admission admission,
      Placement placement,
      SplittableRandom random) {
    EngineChoice choice = new EngineChoice(base.control(), placement, base.ownership()::isLeaving);
    base.peers().listen(choice);
    RemoteAnswers remote = new RemoteAnswers(base.peers());
    base.peers().listen(remote);
    ModelCall.Parts parts =
        new ModelCall.Parts(
            base.self(),
            base.control(),
            base.ownership(),
            base.ownership()::isLeaving,
            owning.owner(),
            remote,
            choice,
            new RetryBudget(RetryBudget.DEFAULT_FRACTION, RetryBudget.DEFAULT_RESERVE),
            new Backoff(random.split(), RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS),
            base.metrics());
    ModelRoute route =
        new ModelRoute(
            base.incarnation(), base.configuration(), admission, owning.suspects(), parts);
    return new ModelParts(remote, route);
  }

  void register(Kernel kernel) {
    kernel.register("remote-answers", remote);
    kernel.register("models", route);
  }
}
