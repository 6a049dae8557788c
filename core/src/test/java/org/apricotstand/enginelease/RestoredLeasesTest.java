package org.apricotstand.enginelease;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.apricotstand.model.StoreVersion;
import org.junit.jupiter.api.Test;

/** The table service is restored from an older copy, so that versions are given out again. */
class RestoredLeasesTest {

  private static final long HANDOVER_PAUSE_MS = 3_000;
  private static final long RESTORED_MS = 4_000;

  /** Earliest end of the wait for a holder that nobody knows of. */
  private static final long WAITED_MS =
      RESTORED_MS + EngineLeases.LEASE_DURATION_MS + HANDOVER_PAUSE_MS;

  private static EngineLeases startedLeases(long newSystemUntilMs) {
    EngineLeases leases = new EngineLeases("n1", HANDOVER_PAUSE_MS, newSystemUntilMs);
    leases.handle(new LeaseEvent.InstancesChanged(Map.of("n1", "d1")), 0);
    leases.handle(new LeaseEvent.EnginesChanged(Map.of("e", "d1")), 0);
    return leases;
  }

  private static EngineLeases leasesOfEra1() {
    EngineLeases leases = startedLeases(1_000);
    leases.handle(new LeaseEvent.EraBegan(1), 0);
    return leases;
  }

  /** Returns the leases of an instance that has owned the engine since 10 ms. */
  private static EngineLeases ownerOfEra1() {
    EngineLeases leases = leasesOfEra1();
    List<LeaseAction> actions = leases.handle(new LeaseEvent.RowsRead(List.of(), 0), 10);
    LeaseRecord row = new LeaseRecord("e", "n1", false, 1, StoreVersion.absentIn(1));
    assertThat(actions).containsExactly(new LeaseAction.WriteRows(List.of(row)));
    StoreVersion version = new StoreVersion(1, 26);
    leases.handle(new LeaseEvent.WriteCommitted(List.of(row), version, 10), 20);
    return leases;
  }

  private static LeaseRecord stored(String content, long number) {
    return LeaseRecord.decode("e", content, new StoreVersion(2, number));
  }

  private static void restore(EngineLeases leases) {
    leases.handle(new LeaseEvent.EraBegan(2), RESTORED_MS);
  }

  private static List<LeaseAction> read(EngineLeases leases, LeaseRecord... rows) {
    return leases.handle(
        new LeaseEvent.RowsRead(List.of(rows), RESTORED_MS + 10), RESTORED_MS + 20);
  }

  private static List<LeaseAction> tick(EngineLeases leases, long nowMs) {
    return leases.handle(new LeaseEvent.Tick(), nowMs);
  }

  private static LeaseAction write(StoreVersion expected) {
    return new LeaseAction.WriteRows(List.of(new LeaseRecord("e", "n1", false, 2, expected)));
  }

  // Guards against an owner that goes on without a row until its lease ends, after which another
  // instance commands the engine without the pause between two owners.
  @Test
  void anOwnerWritesItsLostRowAgain() {
    EngineLeases leases = ownerOfEra1();
    assertThat(leases.handle(new LeaseEvent.EraBegan(2), RESTORED_MS))
        .containsExactly(new LeaseAction.ReadRows());
    assertThat(read(leases)).containsExactly(write(StoreVersion.absentIn(2)));
    assertThat(leases.mayCommand("e", RESTORED_MS + 20)).isTrue();
  }

  // Guards against an owner that gives up an engine because of a row that it has replaced since.
  @Test
  void anOwnerReplacesTheRowOfAnOwnerBeforeIt() {
    EngineLeases leases = ownerOfEra1();
    restore(leases);
    assertThat(read(leases, stored("n2 era 1", 20)))
        .containsExactly(write(new StoreVersion(2, 20)));
  }

  // Guards against a lower fencing token after a higher one, as the same owner gets a new one.
  @Test
  void anOwnerKeepsItsFencingToken() {
    EngineLeases leases = ownerOfEra1();
    long token = leases.fencingNumber("e");
    restore(leases);
    read(leases);
    LeaseRecord row = new LeaseRecord("e", "n1", false, 2, StoreVersion.absentIn(2));
    StoreVersion version = new StoreVersion(2, 15);
    leases.handle(new LeaseEvent.WriteCommitted(List.of(row), version, 4_020), 4_030);
    assertThat(leases.fencingNumber("e")).isEqualTo(token);
    assertThat(leases.mayCommand("e", 12_000)).isTrue();
  }

  // Guards against an owner that believes in a lease that another instance took after the restore.
  @Test
  void anOwnerYieldsToARowThatWasWrittenAfterTheRestore() {
    EngineLeases leases = ownerOfEra1();
    restore(leases);
    assertThat(read(leases, stored("n2 era 2", 20)))
        .contains(new LeaseAction.OwnershipLost("e", "taken_by_n2"));
    assertThat(leases.mayCommand("e", RESTORED_MS + 20)).isFalse();
  }

  // Guards against an instance that revives a lease that had expired, and that another one may have
  // taken in the time that the store lost.
  @Test
  void aLeaseThatHasExpiredIsNotWrittenAgain() {
    EngineLeases leases = ownerOfEra1();
    long lateMs = 20 + EngineLeases.LEASE_DURATION_MS;
    assertThat(leases.handle(new LeaseEvent.EraBegan(2), lateMs))
        .contains(new LeaseAction.OwnershipLost("e", "store_restored"));
    leases.handle(new LeaseEvent.RowsRead(List.of(), lateMs), lateMs);
    assertThat(tick(leases, lateMs + EngineLeases.LEASE_DURATION_MS)).isEmpty();
  }

  // Guards against an instance that takes an engine at once, because the store has lost the row of
  // its owner.
  @Test
  void aMissingRowIsAcquiredOnlyAfterTheLeaseOfAnUnknownHolder() {
    EngineLeases leases = leasesOfEra1();
    restore(leases);
    assertThat(read(leases)).isEmpty();
    assertThat(tick(leases, WAITED_MS)).isEmpty();
    assertThat(tick(leases, WAITED_MS + 1_000)).containsExactly(write(StoreVersion.absentIn(2)));
  }

  // Guards against an instance that takes an engine at once, because the store has brought back a
  // row that it had released or written itself before another one owned the engine.
  @Test
  void anEarlierRowIsAcquiredOnlyAfterTheLeaseOfAnUnknownHolder() {
    for (String content : List.of("released n2 era 1", "released n1 era 1", "n1 era 1")) {
      EngineLeases leases = leasesOfEra1();
      restore(leases);
      assertThat(read(leases, stored(content, 7))).isEmpty();
      assertThat(tick(leases, WAITED_MS)).isEmpty();
      assertThat(tick(leases, WAITED_MS + 1_000)).containsExactly(write(new StoreVersion(2, 7)));
    }
  }

  // Guards against an instance that starts after a restore, which it does not know of, and takes an
  // engine whose row is lost.
  @Test
  void anInstanceThatStartsLaterTrustsNoMissingRow() {
    EngineLeases leases = startedLeases(Long.MIN_VALUE);
    restore(leases);
    assertThat(read(leases)).isEmpty();
    assertThat(tick(leases, WAITED_MS)).isEmpty();
  }

  // Guards against an instance of a new system that first reaches the store after a restore, and
  // takes an engine whose owner has released it since or was killed.
  @Test
  void aNewSystemIsNotNewOnceALeaseOfAnEarlierEraWasReported() {
    EngineLeases leases = startedLeases(RESTORED_MS + 1_000);
    LeaseStatus lease = new LeaseStatus(new StoreVersion(1, 26), 5_000);
    leases.handle(new LeaseEvent.LeasesReported("n2", Map.of("e", lease)), 100);
    restore(leases);
    leases.handle(new LeaseEvent.LeasesReported("n2", Map.of()), RESTORED_MS);
    assertThat(read(leases)).isEmpty();
    assertThat(tick(leases, WAITED_MS)).isEmpty();
  }

  // Guards against seconds without an owner at each restart of an instance after a restore.
  @Test
  void aRowOfTheCurrentEraIsAcquiredAsBefore() {
    EngineLeases leases = startedLeases(Long.MIN_VALUE);
    restore(leases);
    assertThat(read(leases, stored("released n1 era 2", 30)))
        .containsExactly(write(new StoreVersion(2, 30)));
  }

  // Guards against a lower fencing token of the next owner, as numbers are given out again.
  @Test
  void theTokenOfANewOwnerIsHigherThanAllOfEarlierEras() {
    EngineLeases leases = leasesOfEra1();
    restore(leases);
    read(leases);
    tick(leases, WAITED_MS + 1_000);
    LeaseRecord row = new LeaseRecord("e", "n1", false, 2, StoreVersion.absentIn(2));
    StoreVersion version = new StoreVersion(2, 3);
    leases.handle(new LeaseEvent.WriteCommitted(List.of(row), version, 18_000), 18_010);
    assertThat(leases.fencingNumber("e"))
        .isGreaterThan(new StoreVersion(1, 1_000_000_000).fencingNumber());
  }

  // Guards against thousands of rejected writes a second that follow each other without a pause.
  @Test
  void rejectedWritesThatFollowEachOtherHaveAPauseBetweenThem() {
    EngineLeases leases = ownerOfEra1();
    LeaseRecord renewal = new LeaseRecord("e", "n1", false, 1, new StoreVersion(1, 26));
    LeaseEvent rejected =
        new LeaseEvent.WriteRejected(
            List.of(renewal),
            List.of(LeaseRecord.decode("e", "n1 era 1", new StoreVersion(1, 27))));
    tick(leases, 3_000);
    assertThat(leases.handle(rejected, 3_000)).hasSize(1);
    assertThat(leases.handle(rejected, 3_010)).isEmpty();
    assertThat(tick(leases, 3_100)).isEmpty();
    assertThat(tick(leases, 3_300)).hasSize(1);
  }
}
