package org.apricotstand.revision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.apricotstand.model.InstanceId;
import org.junit.jupiter.api.Test;

class RevisionMachineTest {

  private static final Head FIRST = new Head(1, "hash-1", "nonce-1");
  private static final Head SECOND = new Head(2, "hash-2", "nonce-2");
  private static final InstanceId PEER = new InstanceId("entry-2");
  private static final InstanceId STRANGER = new InstanceId("entry-9");

  private final RevisionMachine machine = new RevisionMachine(new Random(7));

  private List<RevisionAction> handle(RevisionEvent event) {
    return machine.handle(event, 1_000);
  }

  private void putInForce(Head head) {
    assertThat(handle(new RevisionEvent.ContentAccepted(head)))
        .contains(new RevisionAction.PutInForce(head));
  }

  // Guards against a table service that was restored from an old copy taking a revision back.
  @Test
  void headRowThatFallsBackIsReportedOnceAndIgnored() {
    putInForce(FIRST);
    putInForce(SECOND);
    RevisionEvent read = new RevisionEvent.HeadRead(Optional.of(FIRST));
    assertThat(handle(read)).containsExactly(new RevisionAction.Report("head_behind", FIRST));
    assertThat(handle(read)).isEmpty();
    assertThat(machine.inForce()).hasValue(SECOND);
  }

  // Guards against two contents under one number, which would split the instances.
  @Test
  void otherContentUnderTheSameNumberIsRefused() {
    putInForce(SECOND);
    Head forged = new Head(2, "hash-x", "nonce-x");
    assertThat(handle(new RevisionEvent.Announced(PEER, forged)))
        .containsExactly(new RevisionAction.Report("revision_mismatch", forged));
    assertThat(handle(new RevisionEvent.ContentAccepted(forged)))
        .doesNotContain(new RevisionAction.PutInForce(forged));
  }

  // Guards against a peer that asks early and then waits for its own timeout.
  @Test
  void peerThatAskedEarlyGetsContentOnceInForce() {
    handle(new RevisionEvent.PeersKnown(List.of(PEER)));
    assertThat(handle(new RevisionEvent.Wanted(PEER, 2))).isEmpty();
    assertThat(handle(new RevisionEvent.Wanted(STRANGER, 2))).isEmpty();
    List<RevisionAction> actions = handle(new RevisionEvent.ContentAccepted(SECOND));
    assertThat(actions).contains(new RevisionAction.SendContent(PEER, SECOND));
    assertThat(actions).doesNotContain(new RevisionAction.SendContent(STRANGER, SECOND));
  }

  // Guards against faulty content that is fetched again without a pause.
  @Test
  void rejectedContentIsTriedAgainLater() {
    handle(new RevisionEvent.HeadRead(Optional.of(FIRST)));
    assertThat(handle(new RevisionEvent.ContentRejected(FIRST, "content_damaged")))
        .containsExactly(new RevisionAction.Report("content_damaged", FIRST));
    handle(new RevisionEvent.Tick());
    assertThat(handle(new RevisionEvent.Tick())).isEmpty();
    assertThat(machine.handle(new RevisionEvent.Tick(), 2_000))
        .contains(new RevisionAction.FetchFromStore(FIRST));
  }

  // Guards against a spread that rests on the poll of the head row alone.
  @Test
  void firstSightIsForwardedToFewPeersOnce() {
    List<InstanceId> peers =
        IntStream.range(2, 12).mapToObj(i -> new InstanceId("entry-" + i)).toList();
    handle(new RevisionEvent.PeersKnown(peers));
    RevisionEvent announced = new RevisionEvent.Announced(PEER, FIRST);
    List<InstanceId> told =
        handle(announced).stream()
            .filter(RevisionAction.Announce.class::isInstance)
            .map(action -> ((RevisionAction.Announce) action).peer())
            .toList();
    assertThat(told).hasSize(RevisionMachine.FAN_OUT);
    assertThat(told).containsNoDuplicates();
    assertThat(told).doesNotContain(PEER);
    assertThat(handle(announced)).isEmpty();
  }

  // Guards against an instance that waits to be told while the platform is down.
  @Test
  void instanceWithoutRevisionAsksPeers() {
    handle(new RevisionEvent.PeersKnown(List.of(PEER)));
    assertThat(handle(new RevisionEvent.Tick())).contains(new RevisionAction.AskPeer(PEER, 0));
    putInForce(FIRST);
    assertThat(machine.handle(new RevisionEvent.Tick(), 9_000))
        .doesNotContain(new RevisionAction.AskPeer(PEER, 0));
  }
}
