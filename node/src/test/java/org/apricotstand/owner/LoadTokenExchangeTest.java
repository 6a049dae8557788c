package org.apricotstand.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.SharePosition;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.model.InstanceId;
import org.apricotstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class LoadTokenExchangeTest {

  private static final InstanceId B = new InstanceId("b");
  private static final InstanceId C = new InstanceId("c");

  private final long nowMs = ControlThread.nowMs();
  private final List<InstanceId> asked = new ArrayList<>();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final LoadBudget budget = new LoadBudget(nowMs);
  private final LoadTokenExchange exchange =
      new LoadTokenExchange(
          new ControlThread(),
          (peer, message) -> {
            asked.add(peer);
            return sent.add(message);
          },
          budget,
          List.of(B, C),
          () -> new SharePosition(3, 0),
          DeclarationSet::empty);

  /** Guards against a load that waits although another instance has a token to lend. */
  @Test
  void asksOnePeerAfterTheOtherUntilOneLends() {
    createUnmetDemand();
    assertThat(asked).containsExactly(B);
    exchange.onMessage(B, new PeerMessage.TokensLent(1, 0, 2_000));
    assertThat(asked).containsExactly(B, C).inOrder();
    exchange.onMessage(C, new PeerMessage.TokensLent(2, 1_000, 60_000));
    assertThat(budget.mayStartLoad(nowMs)).isTrue();
  }

  /** Guards against requesting more than is still missing after a peer lent a fraction. */
  @Test
  void asksTheNextPeerForTheMissingFraction() {
    createUnmetDemand();
    exchange.onMessage(B, new PeerMessage.TokensLent(1, 300, 60_000));
    assertThat(asked).containsExactly(B, C).inOrder();
    assertThat(((PeerMessage.TokensWanted) sent.getLast()).thousandths()).isAtMost(700);
  }

  /** Guards against adding a token twice because an answer is late or duplicated. */
  @Test
  void ignoresAnswersToEarlierRequests() {
    createUnmetDemand();
    exchange.onMessage(B, new PeerMessage.TokensLent(1, 0, 2_000));
    exchange.onMessage(B, new PeerMessage.TokensLent(1, 1_000, 60_000));
    assertThat(budget.mayStartLoad(nowMs)).isFalse();
  }

  /** Guards against using an expired token; the validity counts from when the request was sent. */
  @Test
  void ignoresAnExpiredToken() {
    createUnmetDemand();
    exchange.onMessage(B, new PeerMessage.TokensLent(1, 1_000, 0));
    assertThat(budget.mayStartLoad(nowMs)).isFalse();
  }

  /** Guards against token requests while no load waits. */
  @Test
  void sendsNothingWithoutDemand() {
    exchange.tick(nowMs);
    assertThat(sent).isEmpty();
  }

  /** Guards against a peer that waits for an answer although there is no token to lend. */
  @Test
  void answersARequestEvenWithoutATokenToLend() {
    exchange.onMessage(B, new PeerMessage.TokensWanted(7, 1_000));
    assertThat(sent)
        .containsExactly(
            new PeerMessage.TokensLent(7, 0, LoadTokenExchange.LENT_TOKEN_VALIDITY_MS));
  }

  private void createUnmetDemand() {
    exchange.tick(nowMs);
    assertThat(budget.mayStartLoad(nowMs)).isFalse();
    exchange.tick(nowMs);
  }
}
