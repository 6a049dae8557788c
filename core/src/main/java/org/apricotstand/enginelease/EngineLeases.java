package org.apricotstand.enginelease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.placement.Rendezvous;

/**
 * Decides which engines this instance owns, by leases that are stored as rows of the table service.
 * A lease is valid for {@link #LEASE_DURATION_MS} after its last confirmed renewal was sent.
 *
 * <p>Another instance may acquire a lease only when the lease was released or has expired and,
 * after that, the required pause between the commands of two owners has passed. The time of expiry
 * is known from the holder's report, provided that it names the version that the row still has.
 * Without such a report, the row must have stayed unchanged for the whole lease duration. Instances
 * in the failure domain of the engine try first, so that a network partition between domains cuts
 * off an engine together with its owner.
 *
 * <p>The table service may be restored from an older copy, which begins a new era. Rows that were
 * written in an earlier era, and rows that are missing, then prove nothing: a lease may have been
 * acquired after the copy was made. Its holder writes the row again. Everybody else waits until a
 * lease of the earlier era would have expired, counted from the first answer of the new era.
 *
 * <pre>{@code
 * if (leases.mayCommand(engine, nowMs)) { ... }
 * }</pre>
 */
public final class EngineLeases {

  /** Validity of a lease after a renewal; longer than most outages of the store. */
  public static final long LEASE_DURATION_MS = 9_000;

  /** No command is sent this shortly before a lease expires; it could arrive after the expiry. */
  static final long COMMAND_MARGIN_MS = 600;

  private static final long RENEWAL_PERIOD_MS = 2_000;

  /** Longer than members of a failed relay need until another one relays for them. */
  private static final long REPORT_MAX_AGE_MS = 3_500;

  private static final long NOT_REPORTED_MS = Long.MIN_VALUE / 2;
  private static final long READ_PERIOD_MS = 1_000;
  // Instances with a lower rank or more leases wait longer, so that ownership spreads.
  private static final long RANK_DELAY_MS = 200;
  private static final long HELD_LEASE_DELAY_MS = 400;
  private static final long CLOCK_MARGIN_MS = 700;
  private static final int MAX_ROWS_PER_WRITE = 40;

  /** Pause after the second rejected write in a row; the first one corrects what is known. */
  private static final long REJECTED_WRITE_PAUSE_MS = 200;

  private static final long NOT_RESTORED_MS = Long.MIN_VALUE / 2;

  private final String self;
  private final long handoverPauseMs;
  private final long newSystemUntilMs;
  private final Map<String, HeldLease> heldLeases = new HashMap<>();
  private final Map<String, ReportedLease> reportedLeases = new HashMap<>();
  private final Map<String, ObservedRow> observedRows = new HashMap<>();

  /** Rank of this instance for each engine; computed once, because each tick needs it. */
  private final Map<String, Integer> ownRanks = new HashMap<>();

  private Map<String, String> engineDomains = Map.of();
  private Map<String, String> instanceDomains = Map.of();
  private boolean callInProgress;
  private long nextReadMs;
  private long nextRenewalMs;
  private long nextWriteMs = Long.MIN_VALUE;
  private int rejectedWritesInRow;
  private boolean releasing;
  private boolean hasSeenEra;
  private long era;
  private long eraSeenMs;
  private long lowestReportedEra = Long.MAX_VALUE;

  /** First answer of the era, unless it is that of a new system. */
  private long restoredAtMs = NOT_RESTORED_MS;

  private record HeldLease(long fencingNumber, StoreVersion rowVersion, long renewalSentMs) {

    boolean isValidAt(long nowMs) {
      return nowMs < renewalSentMs + LEASE_DURATION_MS;
    }
  }

  private record ReportedLease(
      String holder, StoreVersion rowVersion, long expiresAtMs, long reportedAtMs) {

    ReportedLease withReportTime(long newReportedAtMs) {
      return new ReportedLease(holder, rowVersion, expiresAtMs, newReportedAtMs);
    }
  }

  private record ObservedRow(LeaseRecord row, long unchangedSinceMs) {}

  /**
   * Creates the state of an instance that holds no lease.
   *
   * @param self name of this instance
   * @param handoverPauseMs minimum time between the commands of two owners of an engine
   * @param newSystemUntilMs time until which the first era that this instance sees is that of a new
   *     system, where no lease can be missing; in the past if the system is not new
   */
  public EngineLeases(String self, long handoverPauseMs, long newSystemUntilMs) {
    this.self = self;
    this.handoverPauseMs = handoverPauseMs;
    this.newSystemUntilMs = newSystemUntilMs;
  }

  /** Applies an event and returns the actions to carry out, in order. */
  public List<LeaseAction> handle(LeaseEvent event, long nowMs) {
    List<LeaseAction> actions = new ArrayList<>();
    switch (event) {
      case LeaseEvent.EnginesChanged(Map<String, String> domains) -> applyEngines(domains, actions);
      case LeaseEvent.LeasesReported(String holder, Map<String, LeaseStatus> leases) ->
          applyReportedLeases(holder, leases, nowMs);
      case LeaseEvent.HoldersHeard(Set<String> holders) ->
          setReportTime(lease -> holders.contains(lease.holder), nowMs);
      case LeaseEvent.HolderSilent(String holder) ->
          setReportTime(lease -> lease.holder.equals(holder), NOT_REPORTED_MS);
      case LeaseEvent.InstancesChanged(Map<String, String> domains) -> {
        if (!instanceDomains.equals(domains)) {
          instanceDomains = Map.copyOf(domains);
          ownRanks.clear();
        }
      }
      case LeaseEvent.EraBegan(long newEra) -> applyEra(newEra, nowMs, actions);
      case LeaseEvent.RowsRead(List<LeaseRecord> rows, long requestedAtMs) ->
          applyRowsRead(rows, requestedAtMs, nowMs, actions);
      case LeaseEvent.WriteCommitted written -> applyCommittedWrite(written, actions);
      case LeaseEvent.WriteRejected rejected -> applyRejectedWrite(rejected, nowMs, actions);
      case LeaseEvent.CallFailed failed -> callInProgress = false;
      case LeaseEvent.ProcessPaused paused -> suspendLeases();
      case LeaseEvent.ReleaseRequested requested -> releasing = true;
      case LeaseEvent.Tick tick -> {}
    }
    nextCall(nowMs).ifPresent(actions::add);
    return actions;
  }

  /** Returns whether a command may be sent to the engine now. */
  public boolean mayCommand(String engine, long nowMs) {
    HeldLease lease = heldLeases.get(engine);
    return lease != null
        && !releasing
        && nowMs < lease.renewalSentMs + LEASE_DURATION_MS - COMMAND_MARGIN_MS;
  }

  /** Returns the fencing token of an engine that this instance owns; it rises with each owner. */
  public long fencingNumber(String engine) {
    return heldLeases.get(engine).fencingNumber;
  }

  /** Returns all leases of this instance, including those that expired without a renewal. */
  public Map<String, LeaseStatus> leaseStatuses(long nowMs) {
    Map<String, LeaseStatus> statuses = new TreeMap<>();
    heldLeases.forEach(
        (engine, lease) ->
            statuses.put(
                engine,
                new LeaseStatus(
                    lease.rowVersion,
                    Math.max(0, lease.renewalSentMs + LEASE_DURATION_MS - nowMs))));
    return statuses;
  }

  /** Returns whether this instance holds no lease. */
  public boolean isReleased() {
    return heldLeases.isEmpty();
  }

  /**
   * Returns the instance that owns the engine according to its last report; null when no recent
   * report names an owner.
   */
  public String ownerOf(String engine, long nowMs) {
    if (mayCommand(engine, nowMs)) {
      return self;
    }
    ReportedLease last = reportedLeases.get(engine);
    boolean owns =
        last != null
            && nowMs - last.reportedAtMs <= REPORT_MAX_AGE_MS
            && nowMs < last.expiresAtMs - COMMAND_MARGIN_MS;
    return owns ? last.holder : null;
  }

  private void applyEngines(Map<String, String> domains, List<LeaseAction> actions) {
    if (!engineDomains.equals(domains)) {
      engineDomains = Map.copyOf(domains);
      ownRanks.clear();
    }
    Set<String> live = domains.keySet();
    Set<String> gone = new HashSet<>(heldLeases.keySet());
    gone.removeAll(live);
    gone.forEach(
        engine -> {
          heldLeases.remove(engine);
          actions.add(new LeaseAction.OwnershipLost(engine, "engine_gone"));
        });
    observedRows.keySet().retainAll(live);
    reportedLeases.keySet().retainAll(live);
  }

  /**
   * Applies that the table service was restored. A lease that has expired may have been taken over
   * in the time that the service lost, so only valid ones are kept; their rows are read first.
   */
  private void applyEra(long newEra, long nowMs, List<LeaseAction> actions) {
    if (hasSeenEra && newEra <= era) {
      return;
    }
    boolean isOfNewSystem = !hasSeenEra && nowMs < newSystemUntilMs;
    hasSeenEra = true;
    era = newEra;
    eraSeenMs = nowMs;
    restoredAtMs = isOfNewSystem && lowestReportedEra >= newEra ? NOT_RESTORED_MS : nowMs;
    observedRows.clear();
    nextReadMs = nowMs;
    heldLeases.entrySet().stream()
        .filter(entry -> !entry.getValue().isValidAt(nowMs))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(engine -> lose(engine, "store_restored", actions));
  }

  private void lose(String engine, String reason, List<LeaseAction> actions) {
    heldLeases.remove(engine);
    actions.add(new LeaseAction.OwnershipLost(engine, reason));
  }

  private void applyRowsRead(
      List<LeaseRecord> rows, long requestedAtMs, long nowMs, List<LeaseAction> actions) {
    callInProgress = false;
    Map<String, LeaseRecord> rowsByEngine = new HashMap<>();
    rows.forEach(row -> rowsByEngine.put(row.engine(), row));
    engineDomains.keySet().stream()
        .filter(engine -> heldLeases.containsKey(engine) || !isOwnedByOther(engine, nowMs))
        .map(engine -> rowsByEngine.getOrDefault(engine, LeaseRecord.absent(engine, era)))
        .forEach(row -> observe(row, requestedAtMs));
    if (needsConfirmation()) {
      nextRenewalMs = nowMs;
      heldLeases.keySet().stream()
          .filter(this::isTakenByOther)
          .toList()
          .forEach(engine -> lose(engine, takenBy(engine), actions));
    }
  }

  /** Returns whether a lease of an earlier era is held whose row has to be written again. */
  private boolean needsConfirmation() {
    return heldLeases.values().stream().anyMatch(lease -> lease.rowVersion.era() < era);
  }

  private boolean isTakenByOther(String engine) {
    ObservedRow observed = observedRows.get(engine);
    return observed != null && observed.row.isTakenByOther(self);
  }

  private String takenBy(String engine) {
    return "taken_by_" + observedRows.get(engine).row.holder();
  }

  private void applyReportedLeases(String holder, Map<String, LeaseStatus> leases, long nowMs) {
    reportedLeases
        .entrySet()
        .removeIf(
            entry -> entry.getValue().holder.equals(holder) && !leases.containsKey(entry.getKey()));
    leases.values().forEach(status -> recordReportedEra(status.rowVersion().era()));
    leases.forEach(
        (engine, status) -> {
          reportedLeases.put(engine, withReportedExpiry(engine, holder, status, nowMs));
          ObservedRow known = observedRows.get(engine);
          if (known != null && status.rowVersion().isAfter(known.row.rowVersion())) {
            // The row has been written since it was read.
            observedRows.remove(engine);
          }
        });
  }

  /** Records an era in which a lease was written; the system is not new if it is an earlier one. */
  private void recordReportedEra(long reportedEra) {
    lowestReportedEra = Math.min(lowestReportedEra, reportedEra);
    if (hasSeenEra && reportedEra < era && restoredAtMs == NOT_RESTORED_MS) {
      restoredAtMs = eraSeenMs;
    }
  }

  /**
   * Returns a lease as reported now. While the version of its row stays the same, it expires at the
   * earliest time that any report gave.
   */
  private ReportedLease withReportedExpiry(
      String engine, String holder, LeaseStatus status, long nowMs) {
    ReportedLease before = reportedLeases.get(engine);
    boolean sameRow = before != null && before.rowVersion.equals(status.rowVersion());
    long earlierExpiryMs = sameRow ? before.expiresAtMs : Long.MAX_VALUE;
    long expiresAtMs = Math.min(earlierExpiryMs, nowMs + status.remainingMs());
    return new ReportedLease(holder, status.rowVersion(), expiresAtMs, nowMs);
  }

  private void setReportTime(Predicate<ReportedLease> affected, long reportedAtMs) {
    reportedLeases.replaceAll(
        (engine, lease) -> affected.test(lease) ? lease.withReportTime(reportedAtMs) : lease);
  }

  private boolean isOwnedByOther(String engine, long nowMs) {
    String owner = ownerOf(engine, nowMs);
    return owner != null && !owner.equals(self);
  }

  private void observe(LeaseRecord row, long unchangedSinceMs) {
    ObservedRow known = observedRows.get(row.engine());
    if (known == null || !known.row.rowVersion().equals(row.rowVersion())) {
      observedRows.put(row.engine(), new ObservedRow(row, unchangedSinceMs));
    }
  }

  private void applyCommittedWrite(LeaseEvent.WriteCommitted written, List<LeaseAction> actions) {
    callInProgress = false;
    rejectedWritesInRow = 0;
    nextRenewalMs = written.sentAtMs() + RENEWAL_PERIOD_MS;
    for (LeaseRecord row : written.rows()) {
      observedRows.remove(row.engine());
      if (row.released()) {
        lose(row.engine(), "released", actions);
        continue;
      }
      HeldLease before = heldLeases.get(row.engine());
      long fencingNumber =
          before == null ? written.rowVersion().fencingNumber() : before.fencingNumber;
      heldLeases.put(
          row.engine(), new HeldLease(fencingNumber, written.rowVersion(), written.sentAtMs()));
      if (before == null) {
        actions.add(new LeaseAction.OwnershipGained(row.engine(), fencingNumber));
      }
    }
  }

  private void applyRejectedWrite(
      LeaseEvent.WriteRejected rejected, long nowMs, List<LeaseAction> actions) {
    callInProgress = false;
    rejectedWritesInRow++;
    nextWriteMs = rejectedWritesInRow > 1 ? nowMs + REJECTED_WRITE_PAUSE_MS : nowMs;
    nextRenewalMs = nowMs;
    Map<String, LeaseRecord> current = new HashMap<>();
    rejected.current().forEach(row -> current.put(row.engine(), row));
    for (LeaseRecord row : rejected.written()) {
      String engine = row.engine();
      LeaseRecord stored = current.getOrDefault(engine, LeaseRecord.absent(engine, era));
      observe(stored, nowMs);
      HeldLease lease = heldLeases.get(engine);
      if (lease == null) {
        continue;
      }
      if (stored.isTakenByOther(self)) {
        lose(engine, takenBy(engine), actions);
      } else if (stored.rowVersion().isAbsent() && !lease.isValidAt(nowMs)) {
        lose(engine, "row_missing", actions);
      } else {
        // An earlier write took effect although its answer was lost, or the row is gone.
        heldLeases.put(
            engine, new HeldLease(lease.fencingNumber, stored.rowVersion(), lease.renewalSentMs));
      }
    }
  }

  private void suspendLeases() {
    heldLeases.replaceAll(
        (engine, lease) ->
            new HeldLease(lease.fencingNumber, lease.rowVersion, Long.MIN_VALUE / 2));
    nextRenewalMs = Long.MIN_VALUE;
  }

  private Optional<LeaseAction> nextCall(long nowMs) {
    if (callInProgress) {
      return Optional.empty();
    }
    List<LeaseRecord> writes = nowMs < nextWriteMs ? List.of() : rowsToWrite(nowMs);
    if (!writes.isEmpty()) {
      callInProgress = true;
      return Optional.of(
          new LeaseAction.WriteRows(
              writes.subList(0, Math.min(MAX_ROWS_PER_WRITE, writes.size()))));
    }
    if (nowMs >= nextReadMs
        && engineDomains.keySet().stream().anyMatch(engine -> needsRead(engine, nowMs))) {
      callInProgress = true;
      nextReadMs = nowMs + READ_PERIOD_MS;
      return Optional.of(new LeaseAction.ReadRows());
    }
    return Optional.empty();
  }

  private List<LeaseRecord> rowsToWrite(long nowMs) {
    if (releasing) {
      return rowsOfHeldLeases(true);
    }
    List<LeaseRecord> writes = rowsToRenew(nowMs);
    writes.addAll(rowsToAcquire(nowMs));
    return writes;
  }

  private boolean needsRead(String engine, long nowMs) {
    if (observedRows.containsKey(engine)) {
      return false;
    }
    HeldLease lease = heldLeases.get(engine);
    return lease == null
        ? !releasing && ownerOf(engine, nowMs) == null
        : lease.rowVersion.era() < era;
  }

  private List<LeaseRecord> rowsToRenew(long nowMs) {
    if (nowMs < nextRenewalMs || heldLeases.isEmpty()) {
      return new ArrayList<>();
    }
    nextRenewalMs = nowMs + RENEWAL_PERIOD_MS;
    return rowsOfHeldLeases(false);
  }

  /** Returns the rows of all held leases whose stored version is known in this era. */
  private List<LeaseRecord> rowsOfHeldLeases(boolean released) {
    List<LeaseRecord> rows = new ArrayList<>();
    heldLeases.forEach(
        (engine, lease) ->
            storedVersion(engine, lease)
                .ifPresent(
                    version -> rows.add(new LeaseRecord(engine, self, released, era, version))));
    return rows;
  }

  private Optional<StoreVersion> storedVersion(String engine, HeldLease lease) {
    return lease.rowVersion.era() == era
        ? Optional.of(lease.rowVersion)
        : Optional.ofNullable(observedRows.get(engine)).map(observed -> observed.row.rowVersion());
  }

  private List<LeaseRecord> rowsToAcquire(long nowMs) {
    List<LeaseRecord> rows = new ArrayList<>();
    for (String engine : engineDomains.keySet()) {
      if (!heldLeases.containsKey(engine) && mayAcquire(engine, nowMs)) {
        StoreVersion rowVersion = observedRows.get(engine).row.rowVersion();
        rows.add(new LeaseRecord(engine, self, false, era, rowVersion));
      }
    }
    return rows;
  }

  private boolean mayAcquire(String engine, long nowMs) {
    ObservedRow row = observedRows.get(engine);
    return row != null
        && !isOwnedByOther(engine, nowMs)
        && nowMs >= acquirableAtMs(row) + acquisitionDelayMs(engine);
  }

  /** Returns the time from which this instance may acquire the lease of a row. */
  private long acquirableAtMs(ObservedRow observed) {
    LeaseRecord row = observed.row;
    if (row.rowVersion().isAbsent()) {
      return Math.max(observed.unchangedSinceMs, restoredAtMs + takeoverWaitMs());
    }
    if (restoredAtMs != NOT_RESTORED_MS && !row.isOfCurrentEra()) {
      return Math.max(observed.unchangedSinceMs, restoredAtMs) + takeoverWaitMs();
    }
    if (row.holder().equals(self)) {
      return observed.unchangedSinceMs;
    }
    long endsAtMs = row.released() ? observed.unchangedSinceMs : expiresAtMs(observed);
    return endsAtMs + handoverPauseMs + CLOCK_MARGIN_MS;
  }

  /** Returns the wait for the lease of an unknown holder that renewed it just before. */
  private long takeoverWaitMs() {
    return LEASE_DURATION_MS + handoverPauseMs + CLOCK_MARGIN_MS;
  }

  private long expiresAtMs(ObservedRow observed) {
    long latestExpiryMs = observed.unchangedSinceMs + LEASE_DURATION_MS;
    ReportedLease last = reportedLeases.get(observed.row.engine());
    boolean sameRow = last != null && last.rowVersion.equals(observed.row.rowVersion());
    return sameRow ? Math.min(latestExpiryMs, last.expiresAtMs) : latestExpiryMs;
  }

  private long acquisitionDelayMs(String engine) {
    return ownRanks.computeIfAbsent(engine, this::ownRank) * RANK_DELAY_MS
        + heldLeases.size() * HELD_LEASE_DELAY_MS;
  }

  /** Returns the rank of this instance for an engine; those in the engine's domain come first. */
  private int ownRank(String engine) {
    String domain = engineDomains.get(engine);
    List<String> ranked =
        Rendezvous.rank(engine, instanceDomains.keySet(), name -> name).stream()
            .sorted(Comparator.comparing(name -> !instanceDomains.get(name).equals(domain)))
            .toList();
    return Math.max(0, ranked.indexOf(self));
  }
}
