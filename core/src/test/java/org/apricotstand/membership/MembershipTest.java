package org.apricotstand.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apricotstand.membership.MembershipEvent.Member;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MembershipTest {

  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final String DOMAIN = "d";

  private final Membership a = new Membership(A, 1);
  private final Membership b = new Membership(B, 1);
  private long nowMs = 1_000;

  @BeforeEach
  void configureAndMonitorEachOther() {
    a.handle(new MembershipEvent.InstancesConfigured(List.of(member(B, 0, false))), nowMs);
    b.handle(new MembershipEvent.InstancesConfigured(List.of(member(A, 0, false))), nowMs);
    a.handle(new MembershipEvent.MonitoredPeersChanged(Set.of(B)), nowMs);
    b.handle(new MembershipEvent.MonitoredPeersChanged(Set.of(A)), nowMs);
  }

  /** Guards against sending work to an instance that no longer receives messages of this one. */
  @Test
  void oneWayLinkIsNotUsableOnBothSides() {
    exchangeHeartbeats(10_000, true, true);
    assertThat(a.isUsable(B, nowMs)).isTrue();
    assertThat(b.isUsable(A, nowMs)).isTrue();
    exchangeHeartbeats(10_000, true, false);
    assertThat(a.isUsable(B, nowMs)).isFalse();
    assertThat(b.isUsable(A, nowMs)).isFalse();
    exchangeHeartbeats(10_000, true, true);
    assertThat(a.isUsable(B, nowMs)).isTrue();
    assertThat(b.isUsable(A, nowMs)).isTrue();
  }

  /** Guards against a half-open link that is never closed. */
  @Test
  void silentLinkIsClosed() {
    exchangeHeartbeats(5_000, true, true);
    assertThat(exchangeHeartbeats(10_000, false, false))
        .contains(new MembershipAction.CloseLink(B));
  }

  /** Guards against requests that wait on a reopened link to a peer that never sends a hello. */
  @Test
  void reopenedLinkToSilentPeerIsClosedAgain() {
    exchangeHeartbeats(5_000, true, true);
    exchangeHeartbeats(10_000, false, false);
    a.handle(new MembershipEvent.LinkClosed(B), nowMs);
    assertThat(exchangeHeartbeats(10_000, false, false))
        .contains(new MembershipAction.CloseLink(B));
    assertThat(a.unusablePeers(nowMs)).containsExactly(B);
  }

  /** Guards against mistaking a restarted instance for its previous process. */
  @Test
  void olderIncarnationIsStale() {
    a.handle(new MembershipEvent.HelloReceived(B, 7, DOMAIN), nowMs);
    a.handle(new MembershipEvent.HelloReceived(B, 5, DOMAIN), nowMs);
    assertThat(a.isStaleIncarnation(B, 5)).isTrue();
    assertThat(a.isStaleIncarnation(B, 7)).isFalse();
    assertThat(a.instances(DOMAIN)).containsEntry(B, 7L);
  }

  /** Guards against a lagging list that marks a restarted process as leaving. */
  @Test
  void leavingEntryOfOldProcessDoesNotApplyToNewOne() {
    a.handle(new MembershipEvent.InstanceListRead(List.of(member(B, 5, true))), nowMs);
    assertThat(a.liveInstances(DOMAIN, nowMs)).containsExactly(A);
    a.handle(new MembershipEvent.HelloReceived(B, 6, DOMAIN), nowMs);
    assertThat(a.liveInstances(DOMAIN, nowMs)).containsExactly(A, B);
  }

  /** Guards against work for a leaving target, and against polling too rarely to notice it. */
  @Test
  void leavingTargetIsKnownAfterTheNextPoll() {
    TargetId target = new TargetId("engine-1");
    Member leaving = new Member(target.value(), false, 0, DOMAIN, "", true);
    a.handle(new MembershipEvent.InstanceListRead(List.of(leaving)), nowMs);
    assertThat(a.isLeaving(target)).isTrue();
    List<Member> many = new ArrayList<>();
    for (int i = 0; i < 380; i++) {
      many.add(member(new InstanceId("entry-" + i), 1, false));
    }
    a.handle(new MembershipEvent.InstanceListRead(many), nowMs);
    assertThat(a.isLeaving(target)).isFalse();
    assertThat(a.instanceCount()).isEqualTo(382);
    assertThat(a.pollIntervalMs()).isAtMost(2_000);
  }

  /** Delivers heartbeats for a time and returns the other actions of {@code a}. */
  private List<MembershipAction> exchangeHeartbeats(long durationMs, boolean aToB, boolean bToA) {
    List<MembershipAction> otherActions = new ArrayList<>();
    long endMs = nowMs + durationMs;
    for (; nowMs < endMs; nowMs += 100) {
      for (MembershipAction action : a.handle(new MembershipEvent.Tick(), nowMs)) {
        if (!(action instanceof MembershipAction.SendHeartbeat heartbeat)) {
          otherActions.add(action);
        } else if (aToB) {
          b.handle(received(A, heartbeat), nowMs);
        }
      }
      for (MembershipAction action : b.handle(new MembershipEvent.Tick(), nowMs)) {
        if (bToA && action instanceof MembershipAction.SendHeartbeat heartbeat) {
          a.handle(received(B, heartbeat), nowMs);
        }
      }
    }
    return otherActions;
  }

  private static MembershipEvent received(
      InstanceId from, MembershipAction.SendHeartbeat heartbeat) {
    return new MembershipEvent.HeartbeatReceived(
        from, false, heartbeat.sequence(), heartbeat.echoed());
  }

  private static Member member(InstanceId name, long incarnation, boolean leaving) {
    return new Member(name.value(), true, incarnation, DOMAIN, "127.0.0.1:1", leaving);
  }
}
