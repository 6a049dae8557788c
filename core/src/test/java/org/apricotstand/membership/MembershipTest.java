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
  void introduce() {
    a.handle(new MembershipEvent.Configured(List.of(member(B, 0, false))), nowMs);
    b.handle(new MembershipEvent.Configured(List.of(member(A, 0, false))), nowMs);
    a.handle(new MembershipEvent.Watched(Set.of(B)), nowMs);
    b.handle(new MembershipEvent.Watched(Set.of(A)), nowMs);
  }

  /** Guards against work for an instance that hears this one no more. */
  @Test
  void oneWayLinkIsNotUsableOnBothSides() {
    exchangeFor(10_000, true, true);
    assertThat(a.isUsable(B, nowMs)).isTrue();
    assertThat(b.isUsable(A, nowMs)).isTrue();
    exchangeFor(10_000, true, false);
    assertThat(a.isUsable(B, nowMs)).isFalse();
    assertThat(b.isUsable(A, nowMs)).isFalse();
    exchangeFor(10_000, true, true);
    assertThat(a.isUsable(B, nowMs)).isTrue();
    assertThat(b.isUsable(A, nowMs)).isTrue();
  }

  /** Guards against a half-open link that is kept for ever. */
  @Test
  void silentLinkIsClosed() {
    exchangeFor(5_000, true, true);
    assertThat(exchangeFor(10_000, false, false)).contains(new MembershipAction.CloseLink(B));
  }

  /** Guards against requests that wait on a link opened again to a peer that never greets. */
  @Test
  void linkToASilentPeerIsClosedAgainAfterItWasReopened() {
    exchangeFor(5_000, true, true);
    exchangeFor(10_000, false, false);
    a.handle(new MembershipEvent.LinkClosed(B), nowMs);
    assertThat(exchangeFor(10_000, false, false)).contains(new MembershipAction.CloseLink(B));
    assertThat(a.unusable(nowMs)).containsExactly(B);
  }

  /** Guards against a restarted instance that is taken for the old process. */
  @Test
  void olderIncarnationIsReplaced() {
    a.handle(new MembershipEvent.Greeted(B, 7, DOMAIN), nowMs);
    a.handle(new MembershipEvent.Greeted(B, 5, DOMAIN), nowMs);
    assertThat(a.isReplaced(B, 5)).isTrue();
    assertThat(a.isReplaced(B, 7)).isFalse();
    assertThat(a.instances(DOMAIN)).containsEntry(B, 7L);
  }

  /** Guards against a lagging list that marks the successor of a leaving process as leaving. */
  @Test
  void leavingEntryOfTheOldProcessDoesNotConcernTheNewOne() {
    a.handle(new MembershipEvent.ListRead(List.of(member(B, 5, true))), nowMs);
    assertThat(a.live(DOMAIN, nowMs)).containsExactly(A);
    a.handle(new MembershipEvent.Greeted(B, 6, DOMAIN), nowMs);
    assertThat(a.live(DOMAIN, nowMs)).containsExactly(A, B);
  }

  /** Guards against work for a leaving target, and polls too rare to notice one in time. */
  @Test
  void leavingTargetIsKnownAfterTheNextPoll() {
    TargetId target = new TargetId("engine-1");
    Member leaving = new Member(target.value(), false, 0, DOMAIN, "", true);
    a.handle(new MembershipEvent.ListRead(List.of(leaving)), nowMs);
    assertThat(a.isLeaving(target)).isTrue();
    List<Member> many = new ArrayList<>();
    for (int i = 0; i < 380; i++) {
      many.add(member(new InstanceId("entry-" + i), 1, false));
    }
    a.handle(new MembershipEvent.ListRead(many), nowMs);
    assertThat(a.isLeaving(target)).isFalse();
    assertThat(a.count()).isEqualTo(382);
    assertThat(a.pollMs()).isAtMost(2_000);
  }

  /** Passes heartbeats on for a time and returns the other actions of {@code a}. */
  private List<MembershipAction> exchangeFor(long forMs, boolean aToB, boolean bToA) {
    List<MembershipAction> others = new ArrayList<>();
    long endMs = nowMs + forMs;
    for (; nowMs < endMs; nowMs += 100) {
      for (MembershipAction action : a.handle(new MembershipEvent.Tick(), nowMs)) {
        if (!(action instanceof MembershipAction.SendHeartbeat beat)) {
          others.add(action);
        } else if (aToB) {
          b.handle(received(A, beat), nowMs);
        }
      }
      for (MembershipAction action : b.handle(new MembershipEvent.Tick(), nowMs)) {
        if (bToA && action instanceof MembershipAction.SendHeartbeat beat) {
          a.handle(received(B, beat), nowMs);
        }
      }
    }
    return others;
  }

  private static MembershipEvent received(InstanceId from, MembershipAction.SendHeartbeat beat) {
    return new MembershipEvent.HeartbeatReceived(from, false, beat.sequence(), beat.echoed());
  }

  private static Member member(InstanceId name, long incarnation, boolean leaving) {
    return new Member(name.value(), true, incarnation, DOMAIN, "127.0.0.1:1", leaving);
  }
}
