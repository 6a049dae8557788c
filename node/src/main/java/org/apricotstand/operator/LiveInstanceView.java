package org.apricotstand.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.configuration.Revision;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.VersionChoice;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.Ownership;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.placement.EngineSet;

/** View of the instance in this process. Reads control state on the control thread. */
public final class LiveInstanceView implements InstanceView {

  private final PeerMessage.Hello self;
  private final Executor control;
  private final ConfigurationService configuration;
  private final Ownership ownership;
  private final OwnerService owner;
  private final Supplier<List<InstanceId>> connectedPeers;
  private final Runnable onDrain;
  private final AtomicBoolean draining = new AtomicBoolean();

  /**
   * Creates the view.
   *
   * @param self name, incarnation and domain of the instance
   * @param control executor that runs tasks on the control thread
   * @param connectedPeers returns the peers with an open link
   * @param onDrain starts to drain the instance; called at most once
   */
  public LiveInstanceView(
      PeerMessage.Hello self,
      Executor control,
      ConfigurationService configuration,
      Ownership ownership,
      OwnerService owner,
      Supplier<List<InstanceId>> connectedPeers,
      Runnable onDrain) {
    this.self = self;
    this.control = control;
    this.configuration = configuration;
    this.ownership = ownership;
    this.owner = owner;
    this.connectedPeers = connectedPeers;
    this.onDrain = onDrain;
  }

  @Override
  public boolean isReady() {
    return configuration.isReady() && !draining.get();
  }

  @Override
  public void drain() {
    if (draining.compareAndSet(false, true)) {
      onDrain.run();
    }
  }

  @Override
  public CompletableFuture<Status> status() {
    return CompletableFuture.supplyAsync(this::readStatus, control);
  }

  private Status readStatus() {
    ConfigurationService.Activation activation = configuration.activation();
    Revision revision = activation.revision();
    List<EngineStatus> engines =
        revision.declarations().targets().stream()
            .filter(Target::runsModel)
            .map(target -> new TargetId(target.name()))
            .filter(this::isOwned)
            .map(this::engineStatus)
            .toList();
    return new Status(
        self.instance(),
        self.domain(),
        self.incarnation(),
        isReady(),
        draining.get(),
        revision.number(),
        activation.contentHash(),
        revision.number() == 0 ? "" : activation.since().toString(),
        connectedPeers.get().stream().map(InstanceId::value).toList(),
        engines);
  }

  private boolean isOwned(TargetId target) {
    return ownership
        .ownerOf(target)
        .map(InstanceId::value)
        .filter(self.instance()::equals)
        .isPresent();
  }

  private EngineStatus engineStatus(TargetId target) {
    PeerMessage.TargetLoad load = owner.loadOf(target);
    return new EngineStatus(
        target.value(),
        ownership.fencingOf(target),
        ownership.mayDispatch(target),
        load.waiting(),
        load.running(),
        load.resident());
  }

  @Override
  public CompletableFuture<Explanation> explain(String model) {
    return CompletableFuture.supplyAsync(() -> readExplanation(model), control);
  }

  private Explanation readExplanation(String model) {
    Revision revision = configuration.activeRevision();
    int separator = model.indexOf(AdapterVersion.SEPARATOR);
    String name = separator < 0 ? model : model.substring(0, separator);
    Adapter adapter =
        revision
            .adapter(name)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "no adapter or alias " + name + " in revision " + revision.number()));
    String version =
        separator < 0
            ? VersionChoice.choose(adapter, "").orElseThrow()
            : requireDeclared(adapter, model.substring(separator + 1), revision);
    AdapterVersion adapterVersion = adapter.adapterVersion(version);
    return new Explanation(
        model,
        adapterVersion.toString(),
        separator < 0 ? describeRoute(adapter) : "named by the caller",
        revision.number(),
        adapter.requestClass(),
        adapter.pinned(),
        adapter.replicas(),
        rankCandidates(adapterVersion, adapter, revision));
  }

  private static String requireDeclared(Adapter adapter, String version, Revision revision) {
    if (!adapter.versions().contains(version)) {
      throw new IllegalArgumentException(
          adapter.name() + " has no version " + version + " in revision " + revision.number());
    }
    return version;
  }

  private static String describeRoute(Adapter adapter) {
    StringBuilder route = new StringBuilder("chosen by the hash of the request id:");
    if (adapter.route().isEmpty()) {
      route = new StringBuilder("first declared version");
    }
    adapter.versions().stream()
        .filter(adapter.route()::containsKey)
        .map(version -> " " + version + " weight " + adapter.route().get(version))
        .forEach(route::append);
    if (adapter.shift() != null) {
      route
          .append("; of all requests ")
          .append(adapter.shift().percent())
          .append(" % to ")
          .append(adapter.shift().to());
    }
    return route.toString();
  }

  private List<Candidate> rankCandidates(
      AdapterVersion adapterVersion, Adapter adapter, Revision revision) {
    EngineSet engines =
        EngineSet.of(
            revision.declarations().targets().stream()
                .filter(Target::runsModel)
                .filter(target -> target.serves().equals(adapter.model()))
                .toList());
    List<Candidate> candidates = new ArrayList<>();
    for (int index : engines.ranking(adapterVersion, engines.size())) {
      Target target = revision.target(engines.id(index)).orElseThrow();
      candidates.add(describeCandidate(candidates.size() + 1, adapterVersion, target));
    }
    return candidates;
  }

  private Candidate describeCandidate(int rank, AdapterVersion adapterVersion, Target target) {
    TargetId id = new TargetId(target.name());
    Optional<InstanceId> owningInstance = ownership.ownerOf(id);
    String residency = "unknown";
    if (isOwned(id)) {
      boolean resident = owner.loadOf(id).resident().contains(adapterVersion.toString());
      residency = resident ? "resident" : "absent";
    }
    String reason =
        owningInstance.isEmpty()
            ? "no instance owns it, so it receives no requests"
            : "rank " + rank + " by rendezvous hashing";
    return new Candidate(
        rank,
        target.name(),
        target.domain(),
        owningInstance.map(InstanceId::value).orElse(""),
        residency,
        reason);
  }
}
