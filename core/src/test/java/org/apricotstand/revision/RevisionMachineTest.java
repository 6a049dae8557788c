package org.apricotstand.revision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.apricotstand.model.InstanceId;
import org.junit.jupiter.api.Test;

class RevisionMachineTest {

  private static final AcceptedRevision FIRST = new AcceptedRevision(1, "hash-1", "nonce-1");
  private static final AcceptedRevision SECOND = new AcceptedRevision(2, "hash-2", "nonce-2");
  private static final InstanceId PEER = new InstanceId("entry-2");
  private static final InstanceId UNKNOWN_PEER = new InstanceId("entry-9");

  private final RevisionMachine machine = new RevisionMachine(new Random(7));

  private List<RevisionAction> handle(RevisionEvent event) {
    return machine.handle(event, 1_000);
  }

  private void activate(AcceptedRevision accepted) {
    assertThat(handle(new RevisionEvent.ContentVerified(accepted)))
        .contains(new RevisionAction.Activate(accepted));
  }

  // Guards against reverting to an older revision when the table service was restored from an old
  // copy.
  @Test
  void olderHeadRowIsReportedOnceAndIgnored() {
    activate(FIRST);
    activate(SECOND);
    RevisionEvent read = new RevisionEvent.HeadRead(Optional.of(FIRST));
    assertThat(handle(read))
        .containsExactly(new RevisionAction.ReportAnomaly("head_behind", FIRST));
    assertThat(handle(read)).isEmpty();
    assertThat(machine.active()).hasValue(SECOND);
  }

  // Guards against instances that activate different contents under the same revision number.
  @Test
  void differentContentUnderTheSameNumberIsRejected() {
    activate(SECOND);
    AcceptedRevision mismatched = new AcceptedRevision(2, "hash-x", "nonce-x");
    assertThat(handle(new RevisionEvent.RevisionAnnounced(PEER, mismatched)))
        .containsExactly(new RevisionAction.ReportAnomaly("revision_mismatch", mismatched));
    assertThat(handle(new RevisionEvent.ContentVerified(mismatched)))
        .doesNotContain(new RevisionAction.Activate(mismatched));
  }

  // Guards against a peer that requests content before it is active here and gets it only when it
  // asks again after its timeout.
  @Test
  void earlyContentRequestIsAnsweredOnceRevisionIsActive() {
    handle(new RevisionEvent.PeersUpdated(List.of(PEER)));
    assertThat(handle(new RevisionEvent.ContentRequested(PEER, 2))).isEmpty();
    assertThat(handle(new RevisionEvent.ContentRequested(UNKNOWN_PEER, 2))).isEmpty();
    List<RevisionAction> actions = handle(new RevisionEvent.ContentVerified(SECOND));
    assertThat(actions).contains(new RevisionAction.SendContent(PEER, SECOND));
    assertThat(actions).doesNotContain(new RevisionAction.SendContent(UNKNOWN_PEER, SECOND));
  }

  // Guards against invalid content that is fetched again without a delay.
  @Test
  void rejectedContentIsFetchedAgainAfterDelay() {
    handle(new RevisionEvent.HeadRead(Optional.of(FIRST)));
    assertThat(handle(new RevisionEvent.ContentRejected(FIRST, "content_damaged")))
        .containsExactly(new RevisionAction.ReportAnomaly("content_damaged", FIRST));
    handle(new RevisionEvent.Tick());
    assertThat(handle(new RevisionEvent.Tick())).isEmpty();
    assertThat(machine.handle(new RevisionEvent.Tick(), 2_000))
        .contains(new RevisionAction.FetchFromStore(FIRST));
  }

  // Guards against a revision that other instances only learn of by polling the head row.
  @Test
  void newRevisionIsAnnouncedOnceToFewPeers() {
    List<InstanceId> peers =
        IntStream.range(2, 12).mapToObj(i -> new InstanceId("entry-" + i)).toList();
    handle(new RevisionEvent.PeersUpdated(peers));
    RevisionEvent announced = new RevisionEvent.RevisionAnnounced(PEER, FIRST);
    List<InstanceId> recipients =
        handle(announced).stream()
            .filter(RevisionAction.Announce.class::isInstance)
            .map(action -> ((RevisionAction.Announce) action).peer())
            .toList();
    assertThat(recipients).hasSize(RevisionMachine.FAN_OUT);
    assertThat(recipients).containsNoDuplicates();
    assertThat(recipients).doesNotContain(PEER);
    assertThat(handle(announced)).isEmpty();
  }

  // Guards against an instance that stays without a revision while the platform is down because it
  // only waits for announcements.
  @Test
  void instanceWithoutRevisionRequestsOneFromPeers() {
    handle(new RevisionEvent.PeersUpdated(List.of(PEER)));
    assertThat(handle(new RevisionEvent.Tick()))
        .contains(new RevisionAction.RequestFromPeer(PEER, 0));
    activate(FIRST);
    assertThat(machine.handle(new RevisionEvent.Tick(), 9_000))
        .doesNotContain(new RevisionAction.RequestFromPeer(PEER, 0));
  }
}
