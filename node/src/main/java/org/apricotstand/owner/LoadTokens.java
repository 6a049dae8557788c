package org.apricotstand.owner;

import java.util.List;
import java.util.function.Supplier;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.Sharers;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerSender;

/**
 * Keeps this instance's part of the load budget and borrows tokens from other instances, one peer
 * at a time, while a load waits for one. A load may be started from parts of several tokens: whole
 * tokens alone would leave most of the budget idle in partly filled shares.
 */
public final class LoadTokens implements Service, PeerListener {

  /** Time for which a lent token can be used, from when the borrower asked for it. */
  static final long VALID_MS = 2_000;

  private static final long TICK_MS = 50;
  private static final double THOUSAND = 1_000;

  /** An ask without an answer for this long is given up, and the next peer is asked. */
  private static final long ANSWER_TIMEOUT_MS = 200;

  /** Pause after all peers were asked, which bounds the messages of a fleet without tokens. */
  private static final long ROUND_PAUSE_MS = 150;

  private final ControlThread control;
  private final PeerSender peers;
  private final LoadBudget budget;
  private final List<InstanceId> others;
  private final Supplier<Sharers> sharers;
  private final Supplier<DeclarationSet> declarations;
  private int nextPeer;
  private int askedInRound;
  private long round;
  private long askedMs;
  private boolean asking;
  private long pausedUntilMs;

  /**
   * Creates the service.
   *
   * @param others instances that may lend tokens
   * @param sharers current position of this instance among those that share the weight store
   */
  public LoadTokens(
      ControlThread control,
      PeerSender peers,
      LoadBudget budget,
      List<InstanceId> others,
      Supplier<Sharers> sharers,
      Supplier<DeclarationSet> declarations) {
    this.control = control;
    this.peers = peers;
    this.budget = budget;
    this.others = List.copyOf(others);
    this.sharers = sharers;
    this.declarations = declarations;
  }

  @Override
  public void start() {
    control.executeEvery(TICK_MS, () -> tick(ControlThread.nowMs()));
  }

  /** Adjusts the share and asks for a token when a load waits for one. */
  void tick(long nowMs) {
    DeclarationSet.Policy policy = declarations.get().policy();
    budget.configure(policy.loadsPerSecond(), policy.loadsInFlight(), sharers.get(), nowMs);
    boolean demand = budget.takeDemand();
    if (asking && nowMs - askedMs >= ANSWER_TIMEOUT_MS) {
      asking = false;
    }
    if (demand && !asking && nowMs >= pausedUntilMs) {
      askedInRound = 0;
      askNext(nowMs);
    }
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    long nowMs = ControlThread.nowMs();
    switch (message) {
      case PeerMessage.TokensWanted wanted -> {
        double lent = budget.lend(wanted.thousandths() / THOUSAND, nowMs);
        // Rounded down: the remainder is lost, never lent twice.
        int thousandths = (int) Math.floor(lent * THOUSAND);
        peers.send(from, new PeerMessage.TokensLent(wanted.round(), thousandths, VALID_MS));
      }
      case PeerMessage.TokensLent lent -> answered(lent, nowMs);
      default -> {}
    }
  }

  private void answered(PeerMessage.TokensLent lent, long nowMs) {
    if (!asking || lent.round() != round) {
      return;
    }
    asking = false;
    // Counted from the request, so that it ends here before it would at the lender.
    budget.borrow(lent.thousandths() / THOUSAND, askedMs + lent.validMs());
    if (budget.missing(nowMs) > 0) {
      askNext(nowMs);
    }
  }

  private void askNext(long nowMs) {
    if (askedInRound >= others.size()) {
      pausedUntilMs = nowMs + ROUND_PAUSE_MS;
      return;
    }
    InstanceId peer = others.get(nextPeer);
    nextPeer = (nextPeer + 1) % others.size();
    askedInRound++;
    round++;
    askedMs = nowMs;
    int thousandths = (int) Math.ceil(budget.missing(nowMs) * THOUSAND);
    asking = peers.send(peer, new PeerMessage.TokensWanted(round, thousandths));
  }
}
