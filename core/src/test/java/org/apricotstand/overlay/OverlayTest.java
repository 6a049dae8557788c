package org.apricotstand.overlay;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OverlayTest {

  private static final int LARGE_FLEET = 40;

  /** The instance of the largest capacity in its domain relays, here number 0 or 1. */
  private static List<OverlayInstance> fleetWithout(String name, int size) {
    return IntStream.range(0, size)
        .mapToObj(i -> new OverlayInstance("n" + i, "d" + i % 2, 1_000 - i))
        .filter(instance -> !instance.name().equals(name))
        .toList();
  }

  private static Overlay overlayOf(int number, int size) {
    OverlayInstance self = new OverlayInstance("n" + number, "d" + number % 2, 1_000 - number);
    Overlay overlay = new Overlay(self);
    overlay.setInstances(fleetWithout(self.name(), size));
    return overlay;
  }

  // Guards against a second hop in fleets that are small enough without one.
  @Test
  void aSmallFleetIsLinkedInPairs() {
    Overlay overlay = overlayOf(4, 7);
    overlay.update(0);
    assertThat(overlay.neighbors()).hasSize(6);
    assertThat(overlay.neighbors()).containsEntry("n1", new Neighbor(LinkRole.PEER, "d1"));
    assertThat(overlay.relay()).isEmpty();
  }

  // Guards against links from each instance to each other one, whose cost grows with the square.
  @Test
  void aMemberOfALargeFleetHasOneLink() {
    Overlay overlay = overlayOf(4, LARGE_FLEET);
    overlay.update(0);
    assertThat(overlay.neighbors()).containsExactly("n0", new Neighbor(LinkRole.RELAY, "d0"));
    assertThat(overlay.relay()).hasValue("n0");
  }

  // Guards against domains, or two relays of one domain, that do not learn of each other.
  @Test
  void aRelayIsLinkedToTheOtherRelaysAndItsSuccessor() {
    Overlay overlay = overlayOf(0, LARGE_FLEET);
    overlay.update(0);
    assertThat(overlay.neighbors())
        .containsExactly(
            "n1", new Neighbor(LinkRole.REMOTE, "d1"), "n2", new Neighbor(LinkRole.REMOTE, "d0"));
    assertThat(overlay.relay()).isEmpty();
  }

  // Guards against members that hear nothing from the relay that they chose.
  @Test
  void aRelayAnswersTheInstancesThatReportToIt() {
    Overlay overlay = overlayOf(0, LARGE_FLEET);
    overlay.recordRequested("n8", true, 0);
    // The state update that goes with the report.
    overlay.recordRequested("n8", false, 0);
    overlay.update(0);
    assertThat(overlay.neighbors()).containsEntry("n8", new Neighbor(LinkRole.MEMBER, "d0"));
    updateRegularly(overlay, 0, Overlay.SILENCE_TIMEOUT_MS + 20);
    assertThat(overlay.neighbors()).doesNotContainKey("n8");
  }

  // Guards against a member that stays with a relay that was killed, frozen or cut off.
  @Test
  void aSilentRelayIsReplaced() {
    Overlay overlay = overlayOf(4, LARGE_FLEET);
    overlay.update(0);
    overlay.recordHeard("n0", 100);
    assertThat(updateRegularly(overlay, 100, 1_550)).isEmpty();
    assertThat(updateRegularly(overlay, 1_550, 1_700)).containsExactly("n0");
    assertThat(overlay.neighbors()).containsExactly("n2", new Neighbor(LinkRole.RELAY, "d0"));
  }

  // Guards against a wait for an instance whose address refuses connections.
  @Test
  void aRelayThatCannotBeReachedIsReplacedAtOnce() {
    Overlay overlay = overlayOf(4, LARGE_FLEET);
    overlay.update(0);
    overlay.recordLinkFailure("n0", 20);
    overlay.update(20);
    assertThat(overlay.relay()).hasValue("n2");
  }

  // Guards against a slow or frozen instance that takes all others for dead when it runs again.
  @Test
  void ownDelayIsNotTakenAsSilenceOfOthers() {
    Overlay overlay = overlayOf(4, LARGE_FLEET);
    overlay.update(0);
    overlay.recordHeard("n0", 0);
    assertThat(overlay.update(10_000)).isEmpty();
    assertThat(overlay.relay()).hasValue("n0");
    assertThat(overlay.update(10_020)).isEmpty();
  }

  // Guards against a link that stays silent for good without being reset.
  @Test
  void aSilentPeerOfASmallFleetIsTriedAgain() {
    Overlay overlay = overlayOf(0, 3);
    overlay.update(0);
    overlay.recordHeard("n1", 0);
    updateRegularly(overlay, 0, 1_400);
    overlay.recordHeard("n2", 1_400);
    assertThat(updateRegularly(overlay, 1_400, 1_500)).containsExactly("n1");
    assertThat(overlay.neighbors()).containsExactly("n2", new Neighbor(LinkRole.PEER, "d0"));
    updateRegularly(overlay, 1_500, 2_500);
    assertThat(overlay.neighbors().keySet()).containsExactly("n1", "n2");
  }

  // Guards against two relays that keep a link alive only by answering each other.
  @Test
  void anAnswerDoesNotKeepALinkThatNobodyWants() {
    Overlay overlay = overlayOf(0, LARGE_FLEET);
    overlay.recordRequested("n9", false, 0);
    overlay.update(0);
    assertThat(overlay.isUplink("n9")).isFalse();
    updateRegularly(overlay, 0, 1_400);
    overlay.recordHeard("n9", 1_400);
    updateRegularly(overlay, 1_400, 1_520);
    assertThat(overlay.neighbors()).doesNotContainKey("n9");
  }

  private static List<String> updateRegularly(Overlay overlay, long fromMs, long untilMs) {
    return IntStream.iterate((int) fromMs, now -> now <= untilMs, now -> now + 20)
        .mapToObj(now -> overlay.update(now))
        .flatMap(List::stream)
        .toList();
  }

  // Guards against a fleet whose neighbors are given before anything was decided.
  @Test
  void hasNoNeighborsBeforeTheFirstUpdate() {
    assertThat(overlayOf(0, 3).neighbors()).isEqualTo(Map.of());
  }
}
