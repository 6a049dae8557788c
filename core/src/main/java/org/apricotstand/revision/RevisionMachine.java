package org.apricotstand.revision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apricotstand.model.InstanceId;

/**
 * Decides which revision is active at one instance, and distributes revisions to other instances by
 * gossip. The number of the active revision never decreases.
 *
 * <pre>{@code
 * List<RevisionAction> actions = machine.handle(new RevisionEvent.Tick(), nowMs);
 * }</pre>
 *
 * <p>A new revision is announced to a few peers as soon as this instance hears of it, before its
 * content has arrived, so that the distribution does not wait for the content. Peers that request
 * the content in the meantime receive it once the revision is active here.
 */
public final class RevisionMachine {

  /** Number of peers to which a new revision is announced. */
  static final int FAN_OUT = 4;

  private static final long MIN_POLL_INTERVAL_MS = 1_000;
  // Limits the reads of the head row to about 100 per second over all instances.
  private static final long POLL_INTERVAL_PER_INSTANCE_MS = 10;
  private static final double MIN_JITTER_FACTOR = 0.75;
  private static final double JITTER_FACTOR_RANGE = 0.5;
  private static final long HEAD_READ_TIMEOUT_MS = 3_000;
  // A peer answers within milliseconds; after this time the next source is tried.
  private static final long PEER_FETCH_TIMEOUT_MS = 500;
  private static final long STORE_FETCH_TIMEOUT_MS = 2_500;
  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 5_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  // Interval between requests to peers for any content while no revision is active.
  private static final long BOOTSTRAP_REQUEST_INTERVAL_MS = 1_000;

  private final RandomGenerator random;
  private final Map<InstanceId, Long> pendingContentRequests = new LinkedHashMap<>();
  private final Map<String, AcceptedRevision> lastReportedByCode = new HashMap<>();
  private List<InstanceId> peers = List.of();
  private Optional<AcceptedRevision> active = Optional.empty();
  private Optional<AcceptedRevision> newestKnown = Optional.empty();
  private Optional<InstanceId> announcer = Optional.empty();
  private boolean headReadable = true;
  private boolean headReadPending;
  private long headReadDeadlineMs;
  private long nextPollMs = Long.MIN_VALUE;
  private long nextBootstrapRequestMs = Long.MIN_VALUE;
  private long nextFetchMs;
  private int fetchAttempts;

  /**
   * Creates a machine without a revision.
   *
   * @param random source of jitter and of the choice of peers
   */
  public RevisionMachine(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the active revision. */
  public Optional<AcceptedRevision> active() {
    return active;
  }

  /** Returns the revision with the greatest number that this instance has heard of. */
  public Optional<AcceptedRevision> newestKnown() {
    return newestKnown;
  }

  /**
   * Handles an event and returns the actions to perform, in order.
   *
   * @param nowMs monotonic time
   */
  public List<RevisionAction> handle(RevisionEvent event, long nowMs) {
    List<RevisionAction> actions = new ArrayList<>();
    switch (event) {
      case RevisionEvent.HeadRead(Optional<AcceptedRevision> head) ->
          onHeadRead(head, nowMs, actions);
      case RevisionEvent.HeadUnreadable() -> onHeadUnreadable(actions);
      case RevisionEvent.RevisionAnnounced(InstanceId from, AcceptedRevision accepted) ->
          onRevisionAnnounced(from, accepted, nowMs, actions);
      case RevisionEvent.ContentRequested(InstanceId from, long number) ->
          onContentRequested(from, number, actions);
      case RevisionEvent.ContentVerified(AcceptedRevision accepted) ->
          onContentVerified(accepted, nowMs, actions);
      case RevisionEvent.ContentMissing(AcceptedRevision accepted) ->
          scheduleRetry(accepted, nowMs);
      case RevisionEvent.ContentRejected(AcceptedRevision accepted, String code) -> {
        reportOnce(code, accepted, actions);
        scheduleRetry(accepted, nowMs);
      }
      case RevisionEvent.PeerConnected(InstanceId peer) ->
          active.ifPresent(accepted -> actions.add(new RevisionAction.Announce(peer, accepted)));
      case RevisionEvent.PeersUpdated(List<InstanceId> others) -> {
        peers = List.copyOf(others);
        pendingContentRequests.keySet().retainAll(peers);
      }
      case RevisionEvent.Tick() -> onTick(nowMs, actions);
    }
    return actions;
  }

  private void onHeadRead(
      Optional<AcceptedRevision> head, long nowMs, List<RevisionAction> actions) {
    headReadPending = false;
    headReadable = true;
    if (head.isPresent()) {
      observeRevision(head.get(), Optional.empty(), nowMs, actions);
    } else {
      active.ifPresent(accepted -> reportOnce("head_missing", accepted, actions));
    }
    long activeNumber = revisionNumber(active);
    head.filter(accepted -> accepted.revision() < activeNumber)
        .ifPresent(accepted -> reportOnce("head_behind", accepted, actions));
  }

  private void onHeadUnreadable(List<RevisionAction> actions) {
    headReadPending = false;
    headReadable = false;
    // While the head row can't be read, a peer that missed an announcement has no other way to
    // learn of the revision.
    active.ifPresent(
        accepted ->
            pickPeers(1, Optional.empty())
                .forEach(peer -> actions.add(new RevisionAction.Announce(peer, accepted))));
  }

  private void onRevisionAnnounced(
      InstanceId from, AcceptedRevision accepted, long nowMs, List<RevisionAction> actions) {
    observeRevision(accepted, Optional.of(from), nowMs, actions);
    // The sender has not yet heard of the revision that is active here.
    active
        .filter(newer -> newer.revision() > accepted.revision())
        .ifPresent(newer -> actions.add(new RevisionAction.Announce(from, newer)));
  }

  /** Records a revision and, if it is newer than any before, announces it and fetches it. */
  private void observeRevision(
      AcceptedRevision accepted,
      Optional<InstanceId> from,
      long nowMs,
      List<RevisionAction> actions) {
    if (newestKnown.isPresent() && newestKnown.get().revision() >= accepted.revision()) {
      if (newestKnown.get().revision() == accepted.revision()
          && !newestKnown.get().equals(accepted)) {
        reportOnce("revision_mismatch", accepted, actions);
      }
      return;
    }
    newestKnown = Optional.of(accepted);
    announcer = from;
    fetchAttempts = 0;
    for (InstanceId peer : pickPeers(FAN_OUT, from)) {
      actions.add(new RevisionAction.Announce(peer, accepted));
    }
    if (revisionNumber(active) < accepted.revision()) {
      fetchContent(accepted, nowMs, actions);
    }
  }

  /** Fetches content from the store and a peer in turn; a peer first if the head is unreadable. */
  private void fetchContent(AcceptedRevision accepted, long nowMs, List<RevisionAction> actions) {
    Optional<InstanceId> peer = fetchAttempts <= 1 ? announcer : Optional.empty();
    if (peer.isEmpty()) {
      peer = pickPeers(1, Optional.empty()).stream().findFirst();
    }
    boolean isPeerFirst = !headReadable;
    boolean isPeerNext = peer.isPresent() && (fetchAttempts % 2 == 0) == isPeerFirst;
    if (isPeerNext) {
      actions.add(new RevisionAction.RequestFromPeer(peer.get(), accepted.revision()));
      nextFetchMs = nowMs + PEER_FETCH_TIMEOUT_MS + backoffMs();
    } else {
      actions.add(new RevisionAction.FetchFromStore(accepted));
      nextFetchMs = nowMs + STORE_FETCH_TIMEOUT_MS;
    }
    fetchAttempts++;
  }

  private void scheduleRetry(AcceptedRevision accepted, long nowMs) {
    if (newestKnown.filter(accepted::equals).isPresent()) {
      nextFetchMs = Math.min(nextFetchMs, nowMs + backoffMs());
    }
  }

  private long backoffMs() {
    long uncappedMs = MIN_BACKOFF_MS << Math.min(fetchAttempts, MAX_BACKOFF_DOUBLINGS);
    return withJitter(Math.min(MAX_BACKOFF_MS, uncappedMs));
  }

  private void onContentRequested(InstanceId from, long number, List<RevisionAction> actions) {
    if (active.isPresent() && revisionNumber(active) >= number) {
      actions.add(new RevisionAction.SendContent(from, active.get()));
    } else if (peers.contains(from)) {
      pendingContentRequests.merge(from, number, Math::max);
    }
  }

  private void onContentVerified(
      AcceptedRevision accepted, long nowMs, List<RevisionAction> actions) {
    observeRevision(accepted, Optional.empty(), nowMs, actions);
    if (revisionNumber(active) >= accepted.revision()) {
      return;
    }
    actions.removeIf(RevisionMachine::isFetch);
    active = Optional.of(accepted);
    actions.add(new RevisionAction.Activate(accepted));
    pendingContentRequests
        .entrySet()
        .removeIf(
            entry -> {
              boolean isSatisfied = entry.getValue() <= accepted.revision();
              if (isSatisfied) {
                actions.add(new RevisionAction.SendContent(entry.getKey(), accepted));
              }
              return isSatisfied;
            });
  }

  private static boolean isFetch(RevisionAction action) {
    return action instanceof RevisionAction.FetchFromStore
        || action instanceof RevisionAction.RequestFromPeer;
  }

  private void onTick(long nowMs, List<RevisionAction> actions) {
    if (headReadPending && nowMs >= headReadDeadlineMs) {
      onHeadUnreadable(actions);
    }
    if (!headReadPending && nowMs >= nextPollMs) {
      headReadPending = true;
      headReadDeadlineMs = nowMs + HEAD_READ_TIMEOUT_MS;
      nextPollMs = nowMs + withJitter(pollIntervalMs());
      actions.add(new RevisionAction.ReadHead());
    }
    if (newestKnown.isPresent()
        && revisionNumber(active) < revisionNumber(newestKnown)
        && nowMs >= nextFetchMs) {
      fetchContent(newestKnown.get(), nowMs, actions);
    }
    if (active.isEmpty() && nowMs >= nextBootstrapRequestMs) {
      nextBootstrapRequestMs = nowMs + withJitter(BOOTSTRAP_REQUEST_INTERVAL_MS);
      pickPeers(FAN_OUT, Optional.empty())
          .forEach(peer -> actions.add(new RevisionAction.RequestFromPeer(peer, 0)));
    }
  }

  private long pollIntervalMs() {
    return Math.max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_INSTANCE_MS * (peers.size() + 1));
  }

  private long withJitter(long ms) {
    return Math.round(ms * (MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * random.nextDouble()));
  }

  /** Returns different peers chosen at random, fewer than {@code count} if there are too few. */
  private List<InstanceId> pickPeers(int count, Optional<InstanceId> excluded) {
    List<InstanceId> candidates = new ArrayList<>(peers);
    excluded.ifPresent(candidates::remove);
    int picked = Math.min(count, candidates.size());
    for (int i = 0; i < picked; i++) {
      java.util.Collections.swap(candidates, i, i + random.nextInt(candidates.size() - i));
    }
    return candidates.subList(0, picked);
  }

  /** Reports an anomaly unless the last report of the same code was for the same revision. */
  private void reportOnce(String code, AcceptedRevision accepted, List<RevisionAction> actions) {
    if (!accepted.equals(lastReportedByCode.put(code, accepted))) {
      actions.add(new RevisionAction.ReportAnomaly(code, accepted));
    }
  }

  private static long revisionNumber(Optional<AcceptedRevision> accepted) {
    return accepted.map(AcceptedRevision::revision).orElse(0L);
  }
}
