package org.apricotstand.owner;

import java.util.List;
import java.util.function.Supplier;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.SharePosition;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerSender;

/**
 * Keeps this instance's share of the load budget up to date and exchanges load tokens with other
 * instances. While a load waits for a token, it asks one peer at a time to lend one; it also lends
 * tokens to peers. Fractions of tokens are lent too. If only whole tokens were lent, most of the
 * budget would stay unused as fractions at many instances.
 */
public final class LoadTokenExchange implements Service, PeerListener {

  /** Validity of a lent token, counted from when the borrower sent its request. */
  static final long LENT_TOKEN_VALIDITY_MS = 2_000;

  private static final long TICK_INTERVAL_MS = 50;
  private static final double THOUSANDTHS_PER_TOKEN = 1_000;

  /** Time after which a request without an answer is abandoned, so that the next peer is asked. */
  private static final long ANSWER_TIMEOUT_MS = 200;

  /** Pause after all peers were asked; limits the messages when no instance has tokens to lend. */
  private static final long ROUND_PAUSE_MS = 150;

  private final ControlThread control;
  private final PeerSender peers;
  private final LoadBudget budget;
  private final List<InstanceId> otherInstances;
  private final Supplier<SharePosition> sharePosition;
  private final Supplier<DeclarationSet> declarations;
  private int nextPeerIndex;
  private int peersAskedInRound;
  private long requestNumber;
  private long requestSentMs;
  private boolean requestPending;
  private long pausedUntilMs;

  /**
   * Creates the service.
   *
   * @param otherInstances instances that may lend tokens
   * @param sharePosition supplies the position of this instance among those that share the limits
   * @param declarations supplies the declarations of the active revision
   */
  public LoadTokenExchange(
      ControlThread control,
      PeerSender peers,
      LoadBudget budget,
      List<InstanceId> otherInstances,
      Supplier<SharePosition> sharePosition,
      Supplier<DeclarationSet> declarations) {
    this.control = control;
    this.peers = peers;
    this.budget = budget;
    this.otherInstances = List.copyOf(otherInstances);
    this.sharePosition = sharePosition;
    this.declarations = declarations;
  }

  @Override
  public void start() {
    control.executeEvery(TICK_INTERVAL_MS, () -> tick(ControlThread.nowMs()));
  }

  /** Adjusts the share, and asks a peer for tokens if a load waits for one. */
  void tick(long nowMs) {
    DeclarationSet.Policy policy = declarations.get().policy();
    budget.configure(policy.loadsPerSecond(), policy.loadsInFlight(), sharePosition.get(), nowMs);
    boolean unmetDemand = budget.takeUnmetDemand();
    if (requestPending && nowMs - requestSentMs >= ANSWER_TIMEOUT_MS) {
      requestPending = false;
    }
    if (unmetDemand && !requestPending && nowMs >= pausedUntilMs) {
      peersAskedInRound = 0;
      askNextPeer(nowMs);
    }
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    long nowMs = ControlThread.nowMs();
    switch (message) {
      case PeerMessage.TokensWanted request -> {
        double lentTokens = budget.lend(request.thousandths() / THOUSANDTHS_PER_TOKEN, nowMs);
        // Rounded down, so that no more is lent than was removed here; the remainder is lost.
        int thousandths = (int) Math.floor(lentTokens * THOUSANDTHS_PER_TOKEN);
        peers.send(
            from, new PeerMessage.TokensLent(request.round(), thousandths, LENT_TOKEN_VALIDITY_MS));
      }
      case PeerMessage.TokensLent lent -> onTokensLent(lent, nowMs);
      default -> {}
    }
  }

  private void onTokensLent(PeerMessage.TokensLent lent, long nowMs) {
    if (!requestPending || lent.round() != requestNumber) {
      return;
    }
    requestPending = false;
    // The validity counts from when the request was sent, which is before the tokens were lent, so
    // that they expire early rather than late.
    budget.borrow(lent.thousandths() / THOUSANDTHS_PER_TOKEN, requestSentMs + lent.validMs());
    if (budget.missingTokens(nowMs) > 0) {
      askNextPeer(nowMs);
    }
  }

  private void askNextPeer(long nowMs) {
    if (peersAskedInRound >= otherInstances.size()) {
      pausedUntilMs = nowMs + ROUND_PAUSE_MS;
      return;
    }
    InstanceId peer = otherInstances.get(nextPeerIndex);
    nextPeerIndex = (nextPeerIndex + 1) % otherInstances.size();
    peersAskedInRound++;
    requestNumber++;
    requestSentMs = nowMs;
    int thousandths = (int) Math.ceil(budget.missingTokens(nowMs) * THOUSANDTHS_PER_TOKEN);
    requestPending = peers.send(peer, new PeerMessage.TokensWanted(requestNumber, thousandths));
  }
}
