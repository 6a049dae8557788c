package org.apricotstand.entry;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.Sharers;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.owner.LoadTokens;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.PeerRequests;
import org.apricotstand.placement.PlacementPolicy;
import org.apricotstand.schedule.TargetScheduler;
import org.apricotstand.suspects.SuspectService;

/**
 * The parts of an instance that run requests on the engines that it owns.
 *
 * @param engines client of engines
 * @param suspects requests that crash engines
 * @param owner schedulers of the engines
 * @param tokens share of the load budget
 * @param requests requests from other instances
 */
record OwnerParts(
    EngineClient engines,
    SuspectService suspects,
    OwnerService owner,
    LoadTokens tokens,
    PeerRequests requests) {

  /** Creates the parts and connects them with each other. */
  static OwnerParts create(InstanceBase base, PlacementPolicy policy, SplittableRandom random) {
    ConfigurationService configuration = base.configuration();
    EngineClient engines = new EngineClient(base.http());
    SuspectService suspects =
        new SuspectService(base.control(), engines, base.peers(), base::others, base.metrics());
    base.peers().listen(suspects);
    LoadBudget budget = new LoadBudget(ControlThread.nowMs());
    OwnerService owner =
        new OwnerService(
            base.control(),
            engines,
            base.ownership(),
            suspects,
            base.tracing(),
            target -> configuration.current().target(target),
            () -> configuration.current().declarations(),
            target -> new TargetScheduler(target, policy, budget, random.split()));
    base.ownership().setListener(owner);
    LoadTokens tokens = loadTokens(base, budget);
    base.peers().listen(tokens);
    PeerRequests requests = new PeerRequests(base.control(), base.peers(), owner);
    return new OwnerParts(engines, suspects, owner, tokens, requests);
  }

  private static LoadTokens loadTokens(InstanceBase base, LoadBudget budget) {
    // The settings of all instances name the same set; lists that lag could differ.
    List<InstanceId> sharing =
        Stream.concat(
                Stream.of(base.self()),
                base.settings().peers().stream().map(peer -> new InstanceId(peer.instance())))
            .sorted()
            .toList();
    Sharers sharers = new Sharers(sharing.size(), sharing.indexOf(base.self()));
    return new LoadTokens(
        base.control(),
        base.peers(),
        budget,
        sharing.stream().filter(other -> !other.equals(base.self())).toList(),
        () -> sharers,
        () -> base.configuration().current().declarations());
  }

  void register(Kernel kernel) {
    kernel.register("engines", engines);
    kernel.register("suspects", suspects);
    kernel.register("owner", owner);
    kernel.register("load-tokens", tokens);
    kernel.register("peer-requests", requests);
  }
}
