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

/** View of the running instance. What belongs to the control thread is read there. */
public final class LiveInstance implements InstanceView {

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
   * @param connectedPeers returns the peers with an open link
   * @param onDrain starts to leave; called once
   */
  public LiveInstance(
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
    ConfigurationService.InForce inForce = configuration.inForce();
    Revision revision = inForce.revision();
    List<EngineStatus> engines =
        revision.declarations().targets().stream()
            .filter(Target::runsModel)
            .map(target -> new TargetId(target.name()))
            .filter(this::isOwned)
            .map(this::describe)
            .toList();
    return new Status(
        self.instance(),
        self.domain(),
        self.incarnation(),
        isReady(),
        draining.get(),
        revision.number(),
        inForce.contentHash(),
        revision.number() == 0 ? "" : inForce.since().toString(),
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

  private EngineStatus describe(TargetId target) {
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
    Revision revision = configuration.current();
    int at = model.indexOf(AdapterVersion.SEPARATOR);
    String name = at < 0 ? model : model.substring(0, at);
    Adapter adapter =
        revision
            .adapter(name)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "no adapter or alias " + name + " in revision " + revision.number()));
    String version =
        at < 0
            ? VersionChoice.choose(adapter, "").orElseThrow()
            : declared(adapter, model.substring(at + 1), revision);
    AdapterVersion adapterVersion = adapter.at(version);
    return new Explanation(
        model,
        adapterVersion.toString(),
        at < 0 ? routeOf(adapter) : "named by the caller",
        revision.number(),
        adapter.requestClass(),
        adapter.pinned(),
        adapter.replicas(),
        candidates(adapterVersion, adapter, revision));
  }

  private static String declared(Adapter adapter, String version, Revision revision) {
    if (!adapter.versions().contains(version)) {
      throw new IllegalArgumentException(
          adapter.name() + " has no version " + version + " in revision " + revision.number());
    }
    return version;
  }

  private static String routeOf(Adapter adapter) {
    StringBuilder route = new StringBuilder("one of several by the hash of the request id:");
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

  private List<Candidate> candidates(
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
      candidates.add(candidate(candidates.size() + 1, adapterVersion, target));
    }
    return candidates;
  }

  private Candidate candidate(int rank, AdapterVersion adapterVersion, Target target) {
    TargetId id = new TargetId(target.name());
    Optional<InstanceId> ownedBy = ownership.ownerOf(id);
    String residency = "unknown";
    if (isOwned(id)) {
      boolean resident = owner.loadOf(id).resident().contains(adapterVersion.toString());
      residency = resident ? "resident" : "absent";
    }
    String reason =
        ownedBy.isEmpty()
            ? "no instance owns it, so it receives no requests"
            : "rank " + rank + " by rendezvous hashing";
    return new Candidate(
        rank,
        target.name(),
        target.domain(),
        ownedBy.map(InstanceId::value).orElse(""),
        residency,
        reason);
  }
}
