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
import org.apricotstand.revision.Head;
import org.apricotstand.revision.HeadRow;
import org.apricotstand.revision.RevisionAction;
import org.apricotstand.revision.RevisionEvent;
import org.apricotstand.revision.RevisionMachine;

/**
 * Keeps the greatest accepted revision in force and spreads it. Content is decoded and checked on a
 * thread of its own, since that takes longer than the control thread may be held.
 *
 * <pre>{@code
 * Revision revision = configuration.current();
 * }</pre>
 */
public final class ConfigurationService implements Service, PeerListener {

  private static final EventLog LOG = EventLog.of(ConfigurationService.class);
  private static final long TICK_MS = 100;
  private static final long CALL_TIMEOUT_MS = 2_000;

  private final ControlThread control;
  private final TableService tables;
  private final ObjectStore objects;
  private final PeerNetwork peers;
  private final Supplier<List<InstanceId>> others;
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
  private final Set<String> decoding = new HashSet<>();
  private List<InstanceId> knownPeers = List.of();
  private Candidate candidate;
  private byte[] contentInForce;
  // Written on the control thread, read by the gauges.
  private volatile long knownRevision;
  private volatile long headReadMs = ControlThread.nowMs();
  private volatile InForce inForce = new InForce(Revision.NONE, "", Instant.EPOCH);

  private record Candidate(Head head, Revision revision, byte[] content) {}

  /**
   * The revision in force.
   *
   * @param revision revision
   * @param contentHash hash of its content
   * @param since when it came into force at this instance
   */
  public record InForce(Revision revision, String contentHash, Instant since) {}

  /**
   * Creates the service.
   *
   * @param others returns the other instances
   */
  public ConfigurationService(
      ControlThread control,
      TableService tables,
      ObjectStore objects,
      PeerNetwork peers,
      Supplier<List<InstanceId>> others,
      Metrics metrics) {
    this.control = control;
    this.tables = tables;
    this.objects = objects;
    this.peers = peers;
    this.others = others;
    this.metrics = metrics;
  }

  private static long seed() {
    return new SecureRandom().nextLong();
  }

  /** Returns the revision in force; {@link Revision#NONE} before there is one. */
  public Revision current() {
    return inForce.revision();
  }

  /** Returns the revision in force and since when it is. */
  public InForce inForce() {
    return inForce;
  }

  /** Returns whether there is a revision; without one an instance serves nothing. */
  public boolean isReady() {
    return current().number() > 0;
  }

  /** Adds a listener that runs on the control thread each time a revision came into force. */
  public void onRevision(Consumer<Revision> listener) {
    listeners.add(listener);
  }

  @Override
  public void start() {
    metrics.gauge("configuration.revision", () -> current().number());
    metrics.gauge("configuration.known_revision", () -> knownRevision);
    metrics.gauge("configuration.head_age_ms", () -> ControlThread.nowMs() - headReadMs);
    metrics.gauge("configuration.adapters", () -> current().declarations().adapters().size());
    peers.addListener(this);
    control.execute(this::tick);
    control.executeEvery(TICK_MS, this::tick);
  }

  @Override
  public void stop() {
    decoder.shutdownNow();
  }

  private void tick() {
    List<InstanceId> now = others.get();
    if (!now.equals(knownPeers)) {
      knownPeers = now;
      handle(new RevisionEvent.PeersKnown(now));
    }
    handle(new RevisionEvent.Tick());
  }

  @Override
  public void onHello(InstanceId peer, PeerMessage.Hello hello) {
    handle(new RevisionEvent.PeerGreeted(peer));
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.RevisionAnnounced announced ->
          headOf(from, announced.revision(), announced.contentHash(), announced.nonce())
              .ifPresent(head -> handle(new RevisionEvent.Announced(from, head)));
      case PeerMessage.RevisionWanted(long revision) ->
          handle(new RevisionEvent.Wanted(from, revision));
      case PeerMessage.RevisionContent content ->
          headOf(from, content.revision(), content.contentHash(), content.nonce())
              .ifPresent(head -> decode(head, content.content()));
      default -> {}
    }
  }

  private static Optional<Head> headOf(InstanceId from, long revision, String hash, String nonce) {
    try {
      return Optional.of(new Head(revision, hash, nonce));
    } catch (IllegalArgumentException e) {
      LOG.warn("revision_message_malformed", "peer", from, "error", e.getMessage());
      return Optional.empty();
    }
  }

  private void handle(RevisionEvent event) {
    List<RevisionAction> actions = machine.handle(event, ControlThread.nowMs());
    knownRevision = machine.known().map(Head::revision).orElse(0L);
    actions.forEach(this::perform);
  }

  private void perform(RevisionAction action) {
    switch (action) {
      case RevisionAction.ReadHead() -> readHead();
      case RevisionAction.FetchFromStore(Head head) -> fetch(head);
      case RevisionAction.AskPeer(InstanceId peer, long revision) -> {
        metrics.count("configuration.asked_peers");
        peers.send(peer, new PeerMessage.RevisionWanted(revision));
      }
      case RevisionAction.PutInForce(Head head) -> putInForce(head);
      case RevisionAction.Announce(InstanceId peer, Head head) -> {
        metrics.count("configuration.announced");
        peers.send(
            peer,
            new PeerMessage.RevisionAnnounced(head.revision(), head.contentHash(), head.nonce()));
      }
      case RevisionAction.SendContent(InstanceId peer, Head head) -> {
        metrics.count("configuration.content_sent");
        peers.send(
            peer,
            new PeerMessage.RevisionContent(
                head.revision(), head.contentHash(), head.nonce(), contentInForce));
      }
      case RevisionAction.Report(String code, Head head) -> {
        metrics.count("configuration.reported");
        LOG.warn("revision_reported", "code", code, "revision", head.revision());
      }
    }
  }

  private void readHead() {
    tables
        .read(HeadRows.TABLE, HeadRows.KEY, ControlThread.nowMs() + CALL_TIMEOUT_MS)
        .thenApply(HeadRows::decode)
        .whenComplete((result, error) -> control.execute(() -> headRead(result)));
  }

  private void headRead(Result<Optional<HeadRow>> result) {
    if (result instanceof Result.Ok<Optional<HeadRow>>(Optional<HeadRow> row)) {
      headReadMs = ControlThread.nowMs();
      handle(new RevisionEvent.HeadRead(row.map(HeadRow::head)));
    } else {
      metrics.count("configuration.head_unreadable");
      handle(new RevisionEvent.HeadUnreadable());
    }
  }

  private void fetch(Head head) {
    objects
        .get(head.contentHash(), ControlThread.nowMs() + CALL_TIMEOUT_MS)
        .whenComplete((result, error) -> control.execute(() -> fetched(head, result)));
  }

  private void fetched(Head head, Result<Optional<byte[]>> result) {
    if (result instanceof Result.Ok<Optional<byte[]>>(Optional<byte[]> content)
        && content.isPresent()) {
      decode(head, content.get());
    } else {
      metrics.count("configuration.content_missing");
      handle(new RevisionEvent.ContentMissing(head));
    }
  }

  private void decode(Head head, byte[] content) {
    if (head.revision() <= current().number() || !decoding.add(head.contentHash())) {
      return;
    }
    try {
      decoder.execute(
          () -> {
            long startNanos = System.nanoTime();
            Result<Revision> decoded =
                DeclarationContent.decode(head.contentHash(), content)
                    .map(set -> new Revision(head.revision(), set));
            metrics.time("configuration.decode", System.nanoTime() - startNanos);
            control.execute(() -> decoded(head, content, decoded));
          });
    } catch (RejectedExecutionException e) {
      LOG.debug("task_dropped", "reason", "stopped");
    }
  }

  private void decoded(Head head, byte[] content, Result<Revision> result) {
    decoding.remove(head.contentHash());
    switch (result) {
      case Result.Ok<Revision>(Revision revision) -> {
        candidate = new Candidate(head, revision, content);
        handle(new RevisionEvent.ContentAccepted(head));
        candidate = null;
      }
      case Result.Failed<Revision>(Failure failure) -> {
        metrics.count("configuration.content_rejected");
        LOG.warn("revision_rejected", "revision", head.revision(), "failure", failure);
        handle(new RevisionEvent.ContentRejected(head, failure.code()));
      }
    }
  }

  private void putInForce(Head head) {
    contentInForce = candidate.content();
    inForce = new InForce(candidate.revision(), head.contentHash(), Instant.now());
    DeclarationSet set = candidate.revision().declarations();
    LOG.info(
        "revision_in_force",
        "revision",
        head.revision(),
        "adapters",
        set.adapters().size(),
        "targets",
        set.targets().size());
    listeners.forEach(listener -> listener.accept(candidate.revision()));
  }
}
