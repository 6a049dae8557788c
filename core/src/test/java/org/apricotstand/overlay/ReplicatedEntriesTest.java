package org.apricotstand.overlay;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ReplicatedEntriesTest {

  private final ReplicatedEntries<String> entries = new ReplicatedEntries<>("d1");

  private static ReplicatedEntries.Entry<String> entry(String key, long sequence, String domain) {
    return new ReplicatedEntries.Entry<>(
        key, new EntryVersion(1, sequence), domain, false, key + sequence);
  }

  private static Neighbor peer(LinkRole role, String domain) {
    return new Neighbor(role, domain);
  }

  private List<String> take(String neighbor) {
    return entries.take(neighbor).stream().map(ReplicatedEntries.Entry::value).toList();
  }

  // Guards against an old state that overwrites a newer one after it took a longer way.
  @Test
  void keepsTheNewestVersion() {
    assertThat(entries.put(entry("a", 2, "d1"), "n1")).isTrue();
    assertThat(entries.put(entry("a", 1, "d1"), "n2")).isFalse();
    assertThat(entries.put(entry("a", 2, "d1"), "n2")).isFalse();
    assertThat(entries.get("a").value()).isEqualTo("a2");
  }

  // Guards against a new writer, or one that restarted, whose state is ignored.
  @Test
  void aNewerEpochGoesBeforeAHigherSequence() {
    entries.put(entry("a", 900, "d1"), "n1");
    EntryVersion restarted = new EntryVersion(2, 1);
    assertThat(entries.put(new ReplicatedEntries.Entry<>("a", restarted, "d1", false, "new"), "n1"))
        .isTrue();
  }

  // Guards against updates that circulate for ever.
  @Test
  void doesNotReturnAnEntryToItsSource() {
    entries.setNeighbors(
        Map.of("n1", peer(LinkRole.MEMBER, "d1"), "n2", peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("a", 1, "d1"), "n1");
    assertThat(take("n1")).isEmpty();
    assertThat(take("n2")).containsExactly("a1");
    assertThat(take("n2")).isEmpty();
  }

  // Guards against messages for each change of an entry that changes often.
  @Test
  void sendsOnlyTheNewestOfSeveralChanges() {
    entries.setNeighbors(Map.of("n1", peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("a", 1, "d1"), ReplicatedEntries.OWN);
    entries.put(entry("a", 2, "d1"), ReplicatedEntries.OWN);
    assertThat(take("n1")).containsExactly("a2");
  }

  // Guards against members that do not learn what happens in other domains.
  @Test
  void aMemberGetsEntriesOfAllDomains() {
    entries.setNeighbors(
        Map.of("far", peer(LinkRole.REMOTE, "d2"), "member", peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("a", 1, "d2"), "far");
    assertThat(take("member")).containsExactly("a1");
  }

  // Guards against relays that send each other what each of them already got from its origin.
  @Test
  void aRemoteRelayGetsTheEntriesOfThisDomainOnly() {
    entries.setNeighbors(
        Map.of(
            "far1",
            peer(LinkRole.REMOTE, "d2"),
            "far2",
            peer(LinkRole.REMOTE, "d3"),
            "m",
            peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("own", 1, "d1"), ReplicatedEntries.OWN);
    entries.put(entry("member", 1, "d1"), "m");
    entries.put(entry("foreign", 1, "d2"), "far1");
    assertThat(take("far2")).containsExactly("own1", "member1");
  }

  // Guards against two relays of one domain that do not learn of each other's members.
  @Test
  void aRelayPassesOnWhatAnotherRelayOfTheSameDomainSays() {
    entries.setNeighbors(
        Map.of("r1", peer(LinkRole.REMOTE, "d2"), "r2", peer(LinkRole.REMOTE, "d2")));
    entries.put(entry("a", 1, "d2"), "r1");
    assertThat(take("r2")).containsExactly("a1");
  }

  // Guards against a square of messages in a fleet that is linked in pairs.
  @Test
  void anEntryOfAPairwiseLinkedInstanceIsNotPassedOn() {
    entries.setNeighbors(Map.of("n1", peer(LinkRole.PEER, "d1"), "n2", peer(LinkRole.PEER, "d1")));
    entries.put(entry("a", 1, "d1"), "n1");
    assertThat(take("n2")).isEmpty();
  }

  // Guards against state that is lost where another relay took this instance for the relay.
  @Test
  void aMemberPassesOnToItsRelayWhatItGotElsewhere() {
    entries.setNeighbors(
        Map.of("relay", peer(LinkRole.RELAY, "d1"), "far", peer(LinkRole.REMOTE, "d2")));
    entries.put(entry("foreign", 1, "d2"), "far");
    entries.put(entry("near", 1, "d1"), "relay");
    assertThat(take("relay")).containsExactly("foreign1");
    assertThat(take("far")).containsExactly("near1");
  }

  // Guards against a new member or a new link that misses what was published before.
  @Test
  void aNewNeighborAndANewLinkGetAllEntries() {
    entries.put(entry("a", 1, "d1"), ReplicatedEntries.OWN);
    entries.setNeighbors(Map.of("n1", peer(LinkRole.MEMBER, "d1")));
    assertThat(take("n1")).containsExactly("a1");
    entries.resendAll("n1");
    assertThat(take("n1")).containsExactly("a1");
  }

  // Guards against state that stays with a relay because its writer reported to it only afterwards.
  @Test
  void anEntryIsPassedOnWhenItsSourceBecomesAMember() {
    Neighbor far = peer(LinkRole.PEER, "d2");
    entries.setNeighbors(Map.of("m", peer(LinkRole.PEER, "d1"), "far", far));
    entries.put(entry("a", 1, "d1"), "m");
    assertThat(take("far")).isEmpty();
    entries.setNeighbors(Map.of("m", peer(LinkRole.MEMBER, "d1"), "far", far));
    assertThat(take("far")).containsExactly("a1");
  }

  // Guards against a restarted relay that never learns again what it passed on before.
  @Test
  void aNewLinkGetsAlsoWhatCameFromThatNeighbor() {
    entries.setNeighbors(Map.of("r", peer(LinkRole.RELAY, "d1")));
    entries.setNeighbors(Map.of("r", peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("a", 1, "d1"), "r");
    assertThat(take("r")).isEmpty();
    entries.resendAll("r");
    assertThat(take("r")).containsExactly("a1");
  }

  // Guards against state of a member that stays here because it came by a detour first.
  @Test
  void anEntryOfAMemberThatCameByADetourIsPassedOn() {
    entries.setNeighbors(
        Map.of(
            "m", peer(LinkRole.MEMBER, "d1"),
            "far1", peer(LinkRole.REMOTE, "d2"),
            "far2", peer(LinkRole.REMOTE, "d3")));
    entries.put(entry("a", 1, "d1"), "far1");
    assertThat(take("far2")).isEmpty();
    entries.put(entry("a", 1, "d1"), "m");
    assertThat(take("far2")).containsExactly("a1");
  }

  // Guards against a failure when a link opens to an instance that is no neighbor.
  @Test
  void resendsNothingToAnInstanceThatIsNoNeighbor() {
    entries.put(entry("a", 1, "d1"), ReplicatedEntries.OWN);
    entries.resendAll("n1");
    assertThat(take("n1")).isEmpty();
  }

  // Guards against requests that wait for the next regular report although their adapter is there.
  @Test
  void tellsWhetherAnUrgentEntryWaits() {
    entries.setNeighbors(Map.of("n1", peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("a", 1, "d1"), ReplicatedEntries.OWN);
    assertThat(entries.hasUrgent("n1")).isFalse();
    entries.put(
        new ReplicatedEntries.Entry<>("b", new EntryVersion(1, 1), "d1", true, "b1"),
        ReplicatedEntries.OWN);
    assertThat(entries.hasUrgent("n1")).isTrue();
    take("n1");
    assertThat(entries.hasUrgent("n1")).isFalse();
  }

  // Guards against the state of a dead instance that is passed on for ever.
  @Test
  void aRemovedEntryIsNotSent() {
    entries.setNeighbors(Map.of("n1", peer(LinkRole.MEMBER, "d1")));
    entries.put(entry("a", 1, "d1"), ReplicatedEntries.OWN);
    entries.remove("a");
    assertThat(take("n1")).isEmpty();
    assertThat(entries.keys()).isEmpty();
  }
}
