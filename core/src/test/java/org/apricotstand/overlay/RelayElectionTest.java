package org.apricotstand.overlay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RelayElectionTest {

  private static final OverlayInstance SMALL = new OverlayInstance("small", "d1", 14);
  private static final OverlayInstance LARGE = new OverlayInstance("large", "d1", 140);
  private static final OverlayInstance LARGEST = new OverlayInstance("largest", "d1", 150);
  private static final OverlayInstance REMOTE = new OverlayInstance("remote", "d2", 150);

  private final RelayElection election = new RelayElection("small");

  RelayElectionTest() {
    election.setInstances(List.of(SMALL, LARGE, LARGEST, REMOTE));
  }

  // Guards against a relay on the smallest machine, which then answers all others late.
  @Test
  void choosesTheInstanceOfTheLargestCapacityInTheDomain() {
    assertThat(election.relayOf("d1", 0)).isEqualTo("largest");
    assertThat(election.relayOf("d2", 0)).isEqualTo("remote");
  }

  // Guards against instances that choose different relays because they learnt of each other in
  // another order.
  @Test
  void doesNotDependOnTheOrderOfTheInstances() {
    List<OverlayInstance> equal = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      equal.add(new OverlayInstance("n" + i, "d1", 36));
    }
    election.setInstances(equal);
    final String relay = election.relayOf("d1", 0);
    RelayElection other = new RelayElection("n3");
    other.setInstances(equal.reversed());
    assertThat(other.relayOf("d1", 0)).isEqualTo(relay);
  }

  // Guards against members that stay with a relay that is dead, frozen or cut off.
  @Test
  void passesOverASuspectedInstanceForAWhile() {
    election.setLive(Set.of("largest"));
    election.suspect("largest", 1_000);
    assertThat(election.relayOf("d1", 1_000)).isEqualTo("large");
    long endMs = 1_000 + RelayElection.MIN_SUSPICION_MS;
    assertThat(election.relayOf("d1", endMs)).isEqualTo("largest");
  }

  // Guards against an interruption of some seconds each time that a dead instance is tried again.
  @Test
  void suspicionGrowsWithEachFailure() {
    election.setLive(Set.of("largest"));
    election.suspect("largest", 0);
    election.suspect("largest", 3_000);
    assertThat(election.relayOf("d1", 8_999)).isEqualTo("large");
    assertThat(election.relayOf("d1", 9_000)).isEqualTo("largest");
  }

  // Guards against an interruption each time that an instance that was removed is tried again.
  @Test
  void aSuspectedInstanceComesBackOnlyWhenSomebodyHearsOfIt() {
    election.suspect("largest", 0);
    assertThat(election.relayOf("d1", 1_000_000)).isEqualTo("large");
    election.setLive(Set.of("largest"));
    assertThat(election.relayOf("d1", 1_000_000)).isEqualTo("largest");
  }

  // Guards against two relays of one domain that do not know of each other.
  @Test
  void namesTheInstanceThatWouldReplaceThisOne() {
    RelayElection own = new RelayElection("largest");
    own.setInstances(List.of(SMALL, LARGE, LARGEST));
    assertThat(own.relayBesidesSelf("d1", 0)).isEqualTo("large");
  }

  // Guards against a relay that is lost for long because of one delay long ago.
  @Test
  void aSuccessEndsTheSuspicion() {
    election.suspect("largest", 0);
    election.clearSuspicion("largest");
    assertThat(election.relayOf("d1", 1)).isEqualTo("largest");
  }

  // Guards against an instance that takes itself for dead and reports to a smaller one.
  @Test
  void neverSuspectsItself() {
    RelayElection own = new RelayElection("largest");
    own.setInstances(List.of(SMALL, LARGE, LARGEST));
    own.suspect("largest", 0);
    assertThat(own.relayOf("d1", 1)).isEqualTo("largest");
  }

  // Guards against reports that are lost with an instance that shuts down.
  @Test
  void passesOverALeavingInstance() {
    election.setLeaving("largest", true);
    assertThat(election.relayOf("d1", 0)).isEqualTo("large");
    election.setLeaving("largest", false);
    assertThat(election.relayOf("d1", 0)).isEqualTo("largest");
  }

  // Guards against an instance that gives up after a partition in which it suspected everybody.
  @Test
  void triesTheLeastSuspectedWhenAllAreSuspected() {
    election.suspect("remote", 0);
    assertThat(election.relayOf("d2", 1)).isEqualTo("remote");
  }

  @Test
  void hasNoRelayForADomainWithoutInstances() {
    assertThat(election.relayOf("d9", 0)).isNull();
  }
}
