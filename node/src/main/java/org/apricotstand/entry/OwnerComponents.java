package org.apricotstand.entry;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.SharePosition;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.owner.LoadTokenExchange;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.PeerRequestReceiver;
import org.apricotstand.placement.PlacementPolicy;
import org.apricotstand.schedule.TargetScheduler;
import org.apricotstand.suspects.SuspectService;

/**
 * Components of an instance that run requests on the engines that it owns.
 *
 * @param engineClient client of the engines
 * @param suspects tracks requests that may have crashed an engine
 * @param owner schedules requests on the owned engines
 * @param loadTokens this instance's share of the budget of adapter loads
 * @param peerRequests serves requests that other instances forward
 */
record OwnerComponents(
    EngineClient engineClient,
    SuspectService suspects,
    OwnerService owner,
    LoadTokenExchange loadTokens,
    PeerRequestReceiver peerRequests) {

  /** Creates the components and connects them with each other. */
  static OwnerComponents create(
      SharedComponents shared, PlacementPolicy policy, SplittableRandom random) {
    ConfigurationService configuration = shared.configuration();
    EngineClient engineClient = new EngineClient(shared.http());
    SuspectService suspects =
        new SuspectService(
            shared.control(),
            engineClient,
            shared.peers(),
            shared::otherInstances,
            shared.metrics());
    shared.peers().addListener(suspects);
    LoadBudget budget = new LoadBudget(ControlThread.nowMs());
    OwnerService owner =
        new OwnerService(
            shared.control(),
            engineClient,
            shared.ownership(),
            suspects,
            shared.tracing(),
            target -> configuration.activeRevision().target(target),
            () -> configuration.activeRevision().declarations(),
            target -> new TargetScheduler(target, policy, budget, random.split()));
    shared.ownership().setListener(owner);
    LoadTokenExchange loadTokens = createLoadTokens(shared, budget);
    shared.peers().addListener(loadTokens);
    PeerRequestReceiver peerRequests =
        new PeerRequestReceiver(shared.control(), shared.peers(), owner);
    return new OwnerComponents(engineClient, suspects, owner, loadTokens, peerRequests);
  }

  private static LoadTokenExchange createLoadTokens(SharedComponents shared, LoadBudget budget) {
    // Taken from the settings, which name the same instances everywhere. The instance list may lag,
    // so that instances would compute different shares.
    List<InstanceId> instances =
        Stream.concat(
                Stream.of(shared.self()),
                shared.settings().peers().stream().map(peer -> new InstanceId(peer.instance())))
            .sorted()
            .toList();
    SharePosition sharePosition =
        new SharePosition(instances.size(), instances.indexOf(shared.self()));
    return new LoadTokenExchange(
        shared.control(),
        shared.peers(),
        budget,
        instances.stream().filter(other -> !other.equals(shared.self())).toList(),
        () -> sharePosition,
        () -> shared.configuration().activeRevision().declarations());
  }

  void register(Kernel kernel) {
    kernel.register("engines", engineClient);
    kernel.register("suspects", suspects);
    kernel.register("owner", owner);
    kernel.register("load-tokens", loadTokens);
    kernel.register("peer-requests", peerRequests);
  }
}
