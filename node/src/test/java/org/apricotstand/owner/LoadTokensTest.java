package org.apricotstand.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.Sharers;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.model.InstanceId;
import org.apricotstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class LoadTokensTest {

  private static final InstanceId B = new InstanceId("b");
  private static final InstanceId C = new InstanceId("c");

  private final long nowMs = ControlThread.nowMs();
  private final List<InstanceId> asked = new ArrayList<>();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final LoadBudget budget = new LoadBudget(nowMs);
  private final LoadTokens tokens =
      new LoadTokens(
          new ControlThread(),
          (peer, message) -> {
            asked.add(peer);
            return sent.add(message);
          },
          budget,
          List.of(B, C),
          () -> new Sharers(3, 0),
          DeclarationSet::empty);

  /** Guards against loads that wait although another instance has a token to lend. */
  @Test
  void asksOnePeerAfterTheOtherUntilOneLends() {
    demand();
    assertThat(asked).containsExactly(B);
    tokens.onMessage(B, new PeerMessage.TokensLent(1, 0, 2_000));
    assertThat(asked).containsExactly(B, C).inOrder();
    tokens.onMessage(C, new PeerMessage.TokensLent(2, 1_000, 60_000));
    assertThat(budget.mayStartLoad(nowMs)).isTrue();
  }

  /** Guards against asking for more than is missing once a peer lent a part. */
  @Test
  void asksTheNextPeerForTheRest() {
    demand();
    tokens.onMessage(B, new PeerMessage.TokensLent(1, 300, 60_000));
    assertThat(asked).containsExactly(B, C).inOrder();
    assertThat(((PeerMessage.TokensWanted) sent.getLast()).thousandths()).isAtMost(700);
  }

  /** Guards against a token that a late or repeated answer adds a second time. */
  @Test
  void ignoresAnswersThatItNoLongerWaitsFor() {
    demand();
    tokens.onMessage(B, new PeerMessage.TokensLent(1, 0, 2_000));
    tokens.onMessage(B, new PeerMessage.TokensLent(1, 1_000, 60_000));
    assertThat(budget.mayStartLoad(nowMs)).isFalse();
  }

  /** Guards against a void token, whose time counts from the request. */
  @Test
  void ignoresATokenWhoseTimeIsOver() {
    demand();
    tokens.onMessage(B, new PeerMessage.TokensLent(1, 1_000, 0));
    assertThat(budget.mayStartLoad(nowMs)).isFalse();
  }

  /** Guards against messages while no load waits. */
  @Test
  void staysSilentWithoutDemand() {
    tokens.tick(nowMs);
    assertThat(sent).isEmpty();
  }

  /** Guards against a peer that waits for an answer which never comes. */
  @Test
  void answersEveryRequest() {
    tokens.onMessage(B, new PeerMessage.TokensWanted(7, 1_000));
    assertThat(sent).containsExactly(new PeerMessage.TokensLent(7, 0, LoadTokens.VALID_MS));
  }

  private void demand() {
    tokens.tick(nowMs);
    assertThat(budget.mayStartLoad(nowMs)).isFalse();
    tokens.tick(nowMs);
  }
}
