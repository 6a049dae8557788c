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
 * Decides which revision is in force at one instance and how it spreads. The number in force never
 * falls.
 *
 * <pre>{@code
 * List<RevisionAction> actions = machine.handle(new RevisionEvent.Tick(), nowMs);
 * }</pre>
 *
 * <p>A revision is forwarded to a few peers when it is first seen, before its content is here, so
 * that its spread does not wait for the content. Peers that ask meanwhile get it once it is in
 * force.
 */
public final class RevisionMachine {

  /** Peers that a revision is forwarded to on first sight. */
  static final int FAN_OUT = 4;

  private static final long MIN_POLL_MS = 1_000;
  // With all instances together, about 100 reads/s of the head row.
  private static final long POLL_MS_PER_INSTANCE = 10;
  private static final double MIN_JITTER = 0.75;
  private static final double JITTER_RANGE = 0.5;
  private static final long READ_TIMEOUT_MS = 3_000;
  // A peer answers within milliseconds; beyond this the next source is tried.
  private static final long PEER_TIMEOUT_MS = 500;
  private static final long STORE_TIMEOUT_MS = 2_500;
  private static final long MIN_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 5_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final long ASK_ANY_MS = 1_000;

  private final RandomGenerator random;
  private final Map<InstanceId, Long> waiting = new LinkedHashMap<>();
  private final Map<String, Head> reported = new HashMap<>();
  private List<InstanceId> peers = List.of();
  private Optional<Head> inForce = Optional.empty();
  private Optional<Head> known = Optional.empty();
  private Optional<InstanceId> announcer = Optional.empty();
  private boolean headReadable = true;
  private boolean reading;
  private long readDeadlineMs;
  private long nextPollMs = Long.MIN_VALUE;
  private long nextAskMs = Long.MIN_VALUE;
  private long nextAttemptMs;
  private int attempt;

  /** Creates a machine without a revision. */
  public RevisionMachine(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the revision in force. */
  public Optional<Head> inForce() {
    return inForce;
  }

  /** Returns the greatest revision that was heard of. */
  public Optional<Head> known() {
    return known;
  }

  /** Handles an event. */
  public List<RevisionAction> handle(RevisionEvent event, long nowMs) {
    List<RevisionAction> actions = new ArrayList<>();
    switch (event) {
      case RevisionEvent.HeadRead(Optional<Head> head) -> headRead(head, nowMs, actions);
      case RevisionEvent.HeadUnreadable() -> headUnreadable(actions);
      case RevisionEvent.Announced(InstanceId from, Head head) ->
          announced(from, head, nowMs, actions);
      case RevisionEvent.Wanted(InstanceId from, long revision) -> wanted(from, revision, actions);
      case RevisionEvent.ContentAccepted(Head head) -> accepted(head, nowMs, actions);
      case RevisionEvent.ContentMissing(Head head) -> retryLater(head, nowMs);
      case RevisionEvent.ContentRejected(Head head, String code) -> {
        report(code, head, actions);
        retryLater(head, nowMs);
      }
      case RevisionEvent.PeerGreeted(InstanceId peer) ->
          inForce.ifPresent(head -> actions.add(new RevisionAction.Announce(peer, head)));
      case RevisionEvent.PeersKnown(List<InstanceId> others) -> {
        peers = List.copyOf(others);
        waiting.keySet().retainAll(peers);
      }
      case RevisionEvent.Tick() -> tick(nowMs, actions);
    }
    return actions;
  }

  private void headRead(Optional<Head> read, long nowMs, List<RevisionAction> actions) {
    reading = false;
    headReadable = true;
    if (read.isPresent()) {
      learn(read.get(), Optional.empty(), nowMs, actions);
    } else {
      inForce.ifPresent(head -> report("head_missing", head, actions));
    }
    long inForceNumber = numberOf(inForce);
    read.filter(head -> head.revision() < inForceNumber)
        .ifPresent(head -> report("head_behind", head, actions));
  }

  private void headUnreadable(List<RevisionAction> actions) {
    reading = false;
    headReadable = false;
    // Without the head row, a peer that missed an announcement would learn of it from nobody.
    inForce.ifPresent(
        head ->
            pick(1, Optional.empty())
                .forEach(peer -> actions.add(new RevisionAction.Announce(peer, head))));
  }

  private void announced(InstanceId from, Head head, long nowMs, List<RevisionAction> actions) {
    learn(head, Optional.of(from), nowMs, actions);
    // The sender missed a revision that is in force here.
    inForce
        .filter(mine -> mine.revision() > head.revision())
        .ifPresent(mine -> actions.add(new RevisionAction.Announce(from, mine)));
  }

  private void learn(
      Head head, Optional<InstanceId> from, long nowMs, List<RevisionAction> actions) {
    if (known.isPresent() && known.get().revision() >= head.revision()) {
      if (known.get().revision() == head.revision() && !known.get().equals(head)) {
        report("revision_mismatch", head, actions);
      }
      return;
    }
    known = Optional.of(head);
    announcer = from;
    attempt = 0;
    for (InstanceId peer : pick(FAN_OUT, from)) {
      actions.add(new RevisionAction.Announce(peer, head));
    }
    if (numberOf(inForce) < head.revision()) {
      fetch(head, nowMs, actions);
    }
  }

  private void fetch(Head head, long nowMs, List<RevisionAction> actions) {
    Optional<InstanceId> peer = attempt <= 1 ? announcer : Optional.empty();
    if (peer.isEmpty()) {
      peer = pick(1, Optional.empty()).stream().findFirst();
    }
    boolean peerFirst = !headReadable;
    boolean fromPeer = peer.isPresent() && (attempt % 2 == 0) == peerFirst;
    if (fromPeer) {
      actions.add(new RevisionAction.AskPeer(peer.get(), head.revision()));
      nextAttemptMs = nowMs + PEER_TIMEOUT_MS + backoffMs();
    } else {
      actions.add(new RevisionAction.FetchFromStore(head));
      nextAttemptMs = nowMs + STORE_TIMEOUT_MS;
    }
    attempt++;
  }

  private void retryLater(Head head, long nowMs) {
    if (known.filter(head::equals).isPresent()) {
      nextAttemptMs = Math.min(nextAttemptMs, nowMs + backoffMs());
    }
  }

  private long backoffMs() {
    long grown = MIN_BACKOFF_MS << Math.min(attempt, MAX_BACKOFF_DOUBLINGS);
    return jittered(Math.min(MAX_BACKOFF_MS, grown));
  }

  private void wanted(InstanceId from, long revision, List<RevisionAction> actions) {
    if (inForce.isPresent() && numberOf(inForce) >= revision) {
      actions.add(new RevisionAction.SendContent(from, inForce.get()));
    } else if (peers.contains(from)) {
      waiting.merge(from, revision, Math::max);
    }
  }

  private void accepted(Head head, long nowMs, List<RevisionAction> actions) {
    learn(head, Optional.empty(), nowMs, actions);
    if (numberOf(inForce) >= head.revision()) {
      return;
    }
    actions.removeIf(RevisionMachine::fetches);
    inForce = Optional.of(head);
    actions.add(new RevisionAction.PutInForce(head));
    waiting
        .entrySet()
        .removeIf(
            entry -> {
              boolean served = entry.getValue() <= head.revision();
              if (served) {
                actions.add(new RevisionAction.SendContent(entry.getKey(), head));
              }
              return served;
            });
  }

  private static boolean fetches(RevisionAction action) {
    return action instanceof RevisionAction.FetchFromStore
        || action instanceof RevisionAction.AskPeer;
  }

  private void tick(long nowMs, List<RevisionAction> actions) {
    if (reading && nowMs >= readDeadlineMs) {
      headUnreadable(actions);
    }
    if (!reading && nowMs >= nextPollMs) {
      reading = true;
      readDeadlineMs = nowMs + READ_TIMEOUT_MS;
      nextPollMs = nowMs + jittered(pollMs());
      actions.add(new RevisionAction.ReadHead());
    }
    if (known.isPresent() && numberOf(inForce) < numberOf(known) && nowMs >= nextAttemptMs) {
      fetch(known.get(), nowMs, actions);
    }
    if (inForce.isEmpty() && nowMs >= nextAskMs) {
      nextAskMs = nowMs + jittered(ASK_ANY_MS);
      pick(FAN_OUT, Optional.empty())
          .forEach(peer -> actions.add(new RevisionAction.AskPeer(peer, 0)));
    }
  }

  private long pollMs() {
    return Math.max(MIN_POLL_MS, POLL_MS_PER_INSTANCE * (peers.size() + 1));
  }

  private long jittered(long ms) {
    return Math.round(ms * (MIN_JITTER + JITTER_RANGE * random.nextDouble()));
  }

  private List<InstanceId> pick(int count, Optional<InstanceId> except) {
    List<InstanceId> others = new ArrayList<>(peers);
    except.ifPresent(others::remove);
    int picked = Math.min(count, others.size());
    for (int i = 0; i < picked; i++) {
      java.util.Collections.swap(others, i, i + random.nextInt(others.size() - i));
    }
    return others.subList(0, picked);
  }

  /** Reports each revision once for each code, so that repeated polls do not repeat the report. */
  private void report(String code, Head head, List<RevisionAction> actions) {
    if (!head.equals(reported.put(code, head))) {
      actions.add(new RevisionAction.Report(code, head));
    }
  }

  private static long numberOf(Optional<Head> head) {
    return head.map(Head::revision).orElse(0L);
  }
}
