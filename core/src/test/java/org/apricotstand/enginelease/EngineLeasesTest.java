package org.apricotstand.enginelease;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.StoreVersion;
import org.junit.jupiter.api.Test;

class EngineLeasesTest {

  private static final long HANDOVER_PAUSE_MS = 3_000;

  private final EngineLeases leases = new EngineLeases("n1", HANDOVER_PAUSE_MS, Long.MAX_VALUE);

  private static StoreVersion version(long number) {
    return StoreVersion.withoutEra(number);
  }

  private List<LeaseAction> tick(long nowMs) {
    return leases.handle(new LeaseEvent.Tick(), nowMs);
  }

  private void acquireNewLease() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    assertThat(leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0))
        .containsExactly(new LeaseAction.ReadRows());
    List<LeaseAction> actions = leases.handle(new LeaseEvent.RowsRead(List.of(), 0), 10);
    LeaseRecord row = new LeaseRecord("e", "n1", false, 0, version(0));
    assertThat(actions).containsExactly(new LeaseAction.WriteRows(List.of(row)));
    leases.handle(new LeaseEvent.WriteCommitted(List.of(row), version(5), 10), 20);
  }

  // Guards against commands after a lease that could not be renewed has expired.
  @Test
  void aLeaseExpiresItsDurationAfterTheRenewalWasSent() {
    acquireNewLease();
    assertThat(leases.fencingNumber("e")).isEqualTo(5);
    long lastMs = 10 + EngineLeases.LEASE_DURATION_MS - EngineLeases.COMMAND_MARGIN_MS;
    assertThat(leases.mayCommand("e", lastMs - 1)).isTrue();
    assertThat(leases.mayCommand("e", lastMs)).isFalse();
  }

  // Guards against commands of an instance that was suspended until its lease had expired.
  @Test
  void aPauseSuspendsAllLeasesUntilTheNextRenewal() {
    acquireNewLease();
    List<LeaseAction> actions = leases.handle(new LeaseEvent.ProcessPaused(), 100);
    assertThat(leases.mayCommand("e", 101)).isFalse();
    LeaseRecord renewal = new LeaseRecord("e", "n1", false, 0, version(5));
    assertThat(actions).containsExactly(new LeaseAction.WriteRows(List.of(renewal)));
    leases.handle(new LeaseEvent.WriteCommitted(List.of(renewal), version(6), 101), 110);
    assertThat(leases.mayCommand("e", 111)).isTrue();
    assertThat(leases.fencingNumber("e")).isEqualTo(5);
  }

  // Guards against commands of two owners without the required pause between them.
  @Test
  void acquiresALeaseOnlyAfterDurationAndPauseWithoutChange() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    LeaseRecord other = new LeaseRecord("e", "n2", false, 0, version(7));
    leases.handle(new LeaseEvent.RowsRead(List.of(other), 0), 10);
    long soonestMs = EngineLeases.LEASE_DURATION_MS + HANDOVER_PAUSE_MS;
    assertThat(tick(soonestMs)).isEmpty();
    assertThat(tick(soonestMs + 1_000))
        .containsExactly(
            new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", false, 0, version(7)))));
  }

  // Guards against a takeover from an owner that sent no reports for a while but is alive.
  @Test
  void readsTheRowAgainWhenTheOwnerReportsARenewal() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1", "n2", "d2")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    leases.handle(
        new LeaseEvent.RowsRead(List.of(new LeaseRecord("e", "n2", false, 0, version(7))), 0), 10);
    leases.handle(
        new LeaseEvent.LeasesReported("n2", Map.of("e", new LeaseStatus(version(8), 9_000))),
        8_000);
    assertThat(tick(20_000)).containsExactly(new LeaseAction.ReadRows());
  }

  // Guards against a wait of seconds when the owner itself restarts.
  @Test
  void reacquiresItsOwnRowWithoutWaiting() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    LeaseRecord own = new LeaseRecord("e", "n1", false, 0, version(7));
    assertThat(leases.handle(new LeaseEvent.RowsRead(List.of(own), 0), 10))
        .containsExactly(new LeaseAction.WriteRows(List.of(own)));
  }

  // Guards against the loss of a lease when a renewal was committed but its answer was lost.
  @Test
  void adoptsARenewalWhoseAnswerWasLost() {
    acquireNewLease();
    LeaseRecord renewal = new LeaseRecord("e", "n1", false, 0, version(5));
    assertThat(tick(2_500)).containsExactly(new LeaseAction.WriteRows(List.of(renewal)));
    leases.handle(new LeaseEvent.CallFailed(), 3_700);
    tick(4_600);
    List<LeaseAction> actions =
        leases.handle(
            new LeaseEvent.WriteRejected(
                List.of(renewal), List.of(new LeaseRecord("e", "n1", false, 0, version(6)))),
            4_610);
    assertThat(actions)
        .containsExactly(
            new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", false, 0, version(6)))));
  }

  // Guards against commands of a former owner after another instance took over.
  @Test
  void losesALeaseThatAnotherInstanceAcquired() {
    acquireNewLease();
    LeaseRecord renewal = new LeaseRecord("e", "n1", false, 0, version(5));
    List<LeaseAction> actions =
        leases.handle(
            new LeaseEvent.WriteRejected(
                List.of(renewal), List.of(new LeaseRecord("e", "n2", false, 0, version(9)))),
            2_600);
    assertThat(actions).contains(new LeaseAction.OwnershipLost("e", "taken_by_n2"));
    assertThat(leases.mayCommand("e", 2_601)).isFalse();
  }

  // Guards against a takeover that waits for the whole lease duration after a planned stop.
  @Test
  void releasesAllLeasesOnRequest() {
    acquireNewLease();
    assertThat(leases.handle(new LeaseEvent.ReleaseRequested(), 100))
        .containsExactly(
            new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", true, 0, version(5)))));
    assertThat(leases.mayCommand("e", 101)).isFalse();
  }

  private void readRowHeldByOther(long rowVersion, long requestedAtMs) {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    LeaseRecord other = new LeaseRecord("e", "n2", false, 0, version(rowVersion));
    leases.handle(new LeaseEvent.RowsRead(List.of(other), requestedAtMs), requestedAtMs + 10);
  }

  private List<LeaseAction> reportLease(long rowVersion, long remainingMs, long nowMs) {
    LeaseStatus status = new LeaseStatus(version(rowVersion), remainingMs);
    return leases.handle(new LeaseEvent.LeasesReported("n2", Map.of("e", status)), nowMs);
  }

  // Guards against a wait for the whole lease duration, without loads meanwhile, when the owner
  // reported how long its lease lasts.
  @Test
  void acquiresALeaseOnceItsReportedExpiryHasPassed() {
    reportLease(7, 1_000, 0);
    readRowHeldByOther(7, 2_000);
    assertThat(tick(1_000 + HANDOVER_PAUSE_MS)).isEmpty();
    assertThat(tick(1_000 + HANDOVER_PAUSE_MS + 1_000))
        .containsExactly(
            new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", false, 0, version(7)))));
  }

  // Guards against commands of two owners when the lease was renewed after its holder's last
  // report.
  @Test
  void ignoresAReportAboutAnOlderVersionOfTheRow() {
    reportLease(7, 1_000, 0);
    readRowHeldByOther(8, 2_000);
    assertThat(tick(2_000 + EngineLeases.LEASE_DURATION_MS + HANDOVER_PAUSE_MS)).isEmpty();
  }

  // Guards against engines without an owner while their last owner is alive but cannot reach the
  // store.
  @Test
  void takesOverFromAnOwnerThatStillReportsAnExpiredLease() {
    readRowHeldByOther(7, 0);
    List<LeaseAction> actions = new ArrayList<>();
    for (long nowMs = 250; nowMs < 5_000; nowMs += 250) {
      actions.addAll(reportLease(7, 0, nowMs));
    }
    assertThat(actions)
        .contains(
            new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", false, 0, version(7)))));
  }

  // Guards against seconds without an owner while instances are restarted one after the other.
  @Test
  void reacquiresARowItReleasedWithoutWaiting() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    LeaseRecord released = LeaseRecord.decode("e", "released n1", version(7));
    assertThat(leases.handle(new LeaseEvent.RowsRead(List.of(released), 0), 10))
        .containsExactly(
            new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", false, 0, version(7)))));
  }

  // Guards against commands of a new owner right after those of an owner that released its lease.
  @Test
  void waitsForThePauseAfterAnotherInstanceReleased() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    LeaseRecord released = LeaseRecord.decode("e", "released n2", version(7));
    leases.handle(new LeaseEvent.RowsRead(List.of(released), 0), 10);
    assertThat(tick(HANDOVER_PAUSE_MS)).isEmpty();
    assertThat(tick(HANDOVER_PAUSE_MS + 1_000)).hasSize(1);
  }

  // Guards against owners that a network partition between domains separates from their engines.
  @Test
  void instancesOfTheEnginesDomainAcquireItFirst() {
    Map<String, String> instances = Map.of("n1", "d1", "n2", "d2", "n3", "d2", "n4", "d2");
    leases.handle(new LeaseEvent.InstancesChanged(instances), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d2")), 0);
    assertThat(leases.handle(new LeaseEvent.RowsRead(List.of(), 0), 10)).isEmpty();
    assertThat(tick(500)).isEmpty();
    assertThat(tick(700)).hasSize(1);
  }

  private void learnThatOtherOwns(long nowMs) {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1", "n2", "d1")), nowMs);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), nowMs);
    leases.handle(
        new LeaseEvent.LeasesReported("n2", Map.of("e", new LeaseStatus(version(7), 60_000))),
        nowMs);
  }

  // Guards against an owner whose leases are sent only at changes and is forgotten in between.
  @Test
  void anOwnerThatIsHeardOfStaysKnown() {
    learnThatOtherOwns(0);
    leases.handle(new LeaseEvent.HoldersHeard(Set.of("n2")), 3_000);
    assertThat(leases.ownerOf("e", 6_000)).isEqualTo("n2");
    assertThat(leases.ownerOf("e", 7_000)).isNull();
  }

  // Guards against load requests that go to a dead owner, and against a takeover before the lease
  // of an owner that is only cut off has expired.
  @Test
  void aSilentOwnerIsNotAskedAndKeepsItsLease() {
    learnThatOtherOwns(0);
    leases.handle(new LeaseEvent.HolderSilent("n2"), 100);
    assertThat(leases.ownerOf("e", 100)).isNull();
    LeaseRecord row = new LeaseRecord("e", "n2", false, 0, version(7));
    leases.handle(new LeaseEvent.CallFailed(), 110);
    leases.handle(new LeaseEvent.RowsRead(List.of(row), 120), 130);
    long soonestMs = 120 + EngineLeases.LEASE_DURATION_MS + HANDOVER_PAUSE_MS;
    assertThat(tick(soonestMs - 1)).isEmpty();
  }

  // Guards against ranks of a former fleet, by which several instances try to acquire at once.
  @Test
  void ranksItselfAnewWhenTheInstancesChange() {
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d2")), 0);
    Map<String, String> nearer = Map.of("n1", "d1", "n2", "d2", "n3", "d2");
    leases.handle(new LeaseEvent.InstancesChanged(nearer), 0);
    assertThat(leases.handle(new LeaseEvent.RowsRead(List.of(), 0), 10)).isEmpty();
    assertThat(tick(399)).isEmpty();
    assertThat(tick(400)).isNotEmpty();
  }
}
