package org.apricotstand.configuration;

import java.security.SecureRandom;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Result;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.platform.ObjectStore;
import org.apricotstand.platform.TableService;
import org.apricotstand.revision.AcceptedRevision;
import org.apricotstand.revision.HeadRow;
import org.apricotstand.revision.RevisionAction;
import org.apricotstand.revision.RevisionEvent;
import org.apricotstand.revision.RevisionMachine;

/**
 * Keeps the newest accepted revision active at this instance and distributes it to other instances.
 * Content is decoded and validated on a separate thread, since this takes too long for the control
 * thread.
 *
 * <pre>{@code
 * Revision revision = configuration.activeRevision();
 * }</pre>
 */
public final class ConfigurationService implements Service, PeerListener {

  private static final EventLog LOG = EventLog.of(ConfigurationService.class);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long CALL_TIMEOUT_MS = 2_000;

  private final ControlThread control;
  private final TableService tables;
  private final ObjectStore objects;
  private final PeerNetwork peers;
  private final Supplier<List<InstanceId>> otherInstances;
  private final Metrics metrics;
  private final RevisionMachine machine = new RevisionMachine(new Random(seed()));
  private final ExecutorService decoder =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "configuration");
            thread.setDaemon(true);
            return thread;
          });
  private final List<Consumer<Revision>> listeners = new CopyOnWriteArrayList<>();
  private final Set<String> hashesBeingDecoded = new HashSet<>();
  private List<InstanceId> lastPeers = List.of();
  private DecodedRevision pendingActivation;
  private byte[] activeContent;
  // Written on the control thread, read by gauges on other threads.
  private volatile long newestKnownRevision;
  private volatile long lastHeadReadMs = ControlThread.nowMs();
  private volatile Activation activation = new Activation(Revision.NONE, "", Instant.EPOCH);

  /** A revision whose content has been decoded and validated. */
  private record DecodedRevision(AcceptedRevision accepted, Revision revision, byte[] content) {}

  /**
   * The active revision and when it was activated.
   *
   * @param revision active revision; {@link Revision#NONE} before there is one
   * @param contentHash hash of its content; empty before there is one
   * @param since when this instance activated it
   */
  public record Activation(Revision revision, String contentHash, Instant since) {}

  /**
   * Creates the service.
   *
   * @param otherInstances supplies the other instances
   */
  public ConfigurationService(
      ControlThread control,
      TableService tables,
      ObjectStore objects,
      PeerNetwork peers,
      Supplier<List<InstanceId>> otherInstances,
      Metrics metrics) {
    this.control = control;
    this.tables = tables;
    this.objects = objects;
    this.peers = peers;
    this.otherInstances = otherInstances;
    this.metrics = metrics;
  }

  private static long seed() {
    return new SecureRandom().nextLong();
  }

  /** Returns the active revision; {@link Revision#NONE} before there is one. */
  public Revision activeRevision() {
    return activation.revision();
  }

  /** Returns the active revision and when it was activated. */
  public Activation activation() {
    return activation;
  }

  /** Returns whether a revision is active; without one an instance serves no requests. */
  public boolean isReady() {
    return activeRevision().number() > 0;
  }

  /** Adds a listener that is called on the control thread after each activation of a revision. */
  public void addRevisionListener(Consumer<Revision> listener) {
    listeners.add(listener);
  }

  @Override
  public void start() {
    metrics.gauge("configuration.revision", () -> activeRevision().number());
    metrics.gauge("configuration.known_revision", () -> newestKnownRevision);
    metrics.gauge("configuration.head_age_ms", () -> ControlThread.nowMs() - lastHeadReadMs);
    metrics.gauge(
        "configuration.adapters", () -> activeRevision().declarations().adapters().size());
    peers.addListener(this);
    control.execute(this::tick);
    control.executeEvery(TICK_INTERVAL_MS, this::tick);
  }

  @Override
  public void stop() {
    decoder.shutdownNow();
  }

  private void tick() {
    List<InstanceId> currentPeers = otherInstances.get();
    if (!currentPeers.equals(lastPeers)) {
      lastPeers = currentPeers;
      handle(new RevisionEvent.PeersUpdated(currentPeers));
    }
    handle(new RevisionEvent.Tick());
  }

  @Override
  public void onHello(InstanceId peer, PeerMessage.Hello hello) {
    handle(new RevisionEvent.PeerConnected(peer));
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.RevisionAnnounced announced ->
          toAcceptedRevision(from, announced.revision(), announced.contentHash(), announced.nonce())
              .ifPresent(accepted -> handle(new RevisionEvent.RevisionAnnounced(from, accepted)));
      case PeerMessage.RevisionWanted(long revision) ->
          handle(new RevisionEvent.ContentRequested(from, revision));
      case PeerMessage.RevisionContent content ->
          toAcceptedRevision(from, content.revision(), content.contentHash(), content.nonce())
              .ifPresent(accepted -> decode(accepted, content.content()));
      default -> {}
    }
  }

  private static Optional<AcceptedRevision> toAcceptedRevision(
      InstanceId from, long revision, String hash, String nonce) {
    try {
      return Optional.of(new AcceptedRevision(revision, hash, nonce));
    } catch (IllegalArgumentException e) {
      LOG.warn("revision_message_malformed", "peer", from, "error", e.getMessage());
      return Optional.empty();
    }
  }

  private void handle(RevisionEvent event) {
    List<RevisionAction> actions = machine.handle(event, ControlThread.nowMs());
    newestKnownRevision = machine.newestKnown().map(AcceptedRevision::revision).orElse(0L);
    actions.forEach(this::perform);
  }

  private void perform(RevisionAction action) {
    switch (action) {
      case RevisionAction.ReadHead() -> readHead();
      case RevisionAction.FetchFromStore(AcceptedRevision accepted) -> fetchContent(accepted);
      case RevisionAction.RequestFromPeer(InstanceId peer, long revision) -> {
        metrics.count("configuration.asked_peers");
        peers.send(peer, new PeerMessage.RevisionWanted(revision));
      }
      case RevisionAction.Activate(AcceptedRevision accepted) -> activate(accepted);
      case RevisionAction.Announce(InstanceId peer, AcceptedRevision accepted) -> {
        metrics.count("configuration.announced");
        peers.send(
            peer,
            new PeerMessage.RevisionAnnounced(
                accepted.revision(), accepted.contentHash(), accepted.nonce()));
      }
      case RevisionAction.SendContent(InstanceId peer, AcceptedRevision accepted) -> {
        metrics.count("configuration.content_sent");
        peers.send(
            peer,
            new PeerMessage.RevisionContent(
                accepted.revision(), accepted.contentHash(), accepted.nonce(), activeContent));
      }
      case RevisionAction.ReportAnomaly(String code, AcceptedRevision accepted) -> {
        metrics.count("configuration.reported");
        LOG.warn("revision_reported", "code", code, "revision", accepted.revision());
      }
    }
  }

  private void readHead() {
    tables
        .read(HeadRowCodec.TABLE, HeadRowCodec.KEY, ControlThread.nowMs() + CALL_TIMEOUT_MS)
        .thenApply(HeadRowCodec::decode)
        .whenComplete((result, error) -> control.execute(() -> onHeadRead(result)));
  }

  private void onHeadRead(Result<Optional<HeadRow>> result) {
    if (result instanceof Result.Ok<Optional<HeadRow>>(Optional<HeadRow> row)) {
      lastHeadReadMs = ControlThread.nowMs();
      handle(new RevisionEvent.HeadRead(row.map(HeadRow::head)));
    } else {
      metrics.count("configuration.head_unreadable");
      handle(new RevisionEvent.HeadUnreadable());
    }
  }

  private void fetchContent(AcceptedRevision accepted) {
    objects
        .get(accepted.contentHash(), ControlThread.nowMs() + CALL_TIMEOUT_MS)
        .whenComplete((result, error) -> control.execute(() -> onContentFetched(accepted, result)));
  }

  private void onContentFetched(AcceptedRevision accepted, Result<Optional<byte[]>> result) {
    if (result instanceof Result.Ok<Optional<byte[]>>(Optional<byte[]> content)
        && content.isPresent()) {
      decode(accepted, content.get());
    } else {
      metrics.count("configuration.content_missing");
      handle(new RevisionEvent.ContentMissing(accepted));
    }
  }

  private void decode(AcceptedRevision accepted, byte[] content) {
    if (accepted.revision() <= activeRevision().number()
        || !hashesBeingDecoded.add(accepted.contentHash())) {
      return;
    }
    try {
      decoder.execute(
          () -> {
            long startNanos = System.nanoTime();
            Result<Revision> decoded =
                DeclarationContent.decode(accepted.contentHash(), content)
                    .map(set -> new Revision(accepted.revision(), set));
            metrics.time("configuration.decode", System.nanoTime() - startNanos);
            control.execute(() -> onContentDecoded(accepted, content, decoded));
          });
    } catch (RejectedExecutionException e) {
      LOG.debug("task_dropped", "reason", "stopped");
    }
  }

  private void onContentDecoded(
      AcceptedRevision accepted, byte[] content, Result<Revision> result) {
    hashesBeingDecoded.remove(accepted.contentHash());
    switch (result) {
      case Result.Ok<Revision>(Revision revision) -> {
        pendingActivation = new DecodedRevision(accepted, revision, content);
        handle(new RevisionEvent.ContentVerified(accepted));
        pendingActivation = null;
      }
      case Result.Failed<Revision>(Failure failure) -> {
        metrics.count("configuration.content_rejected");
        LOG.warn("revision_rejected", "revision", accepted.revision(), "failure", failure);
        handle(new RevisionEvent.ContentRejected(accepted, failure.code()));
      }
    }
  }

  private void activate(AcceptedRevision accepted) {
    activeContent = pendingActivation.content();
    activation =
        new Activation(pendingActivation.revision(), accepted.contentHash(), Instant.now());
    DeclarationSet set = pendingActivation.revision().declarations();
    LOG.info(
        "revision_in_force",
        "revision",
        accepted.revision(),
        "adapters",
        set.adapters().size(),
        "targets",
        set.targets().size());
    listeners.forEach(listener -> listener.accept(pendingActivation.revision()));
  }
}
