package org.apricotstand.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apricotstand.placement.Rendezvous;

/**
 * Decides which engines this instance owns. A lease is held while its last confirmed renewal is
 * younger than {@link #TERM_MS}, counted from before the renewal was sent. Another instance takes
 * it only when the lease has ended and the pause that must lie between commands of two owners has
 * passed. The end is known from the holder's own word about the version that the row still has;
 * without it, the row must have stayed unchanged for a whole term. Instances of the engine's own
 * failure domain claim first, so that owner and engine are cut off together.
 *
 * <pre>{@code
 * if (leases.mayCommand(engine, nowMs)) { ... }
 * }</pre>
 */
public final class OrderLeases {

  /** How long a renewal counts; most outages of the store are shorter. */
  public static final long TERM_MS = 9_000;

  /** A command that is sent later than this before the end of the lease could arrive after it. */
  static final long COMMAND_MARGIN_MS = 600;

  private static final long RENEWAL_MS = 2_000;
  private static final long SILENCE_MS = 1_500;
  private static final long READ_PERIOD_MS = 1_000;
  // Instances with a lower rank or more engines claim later, so that ownership spreads.
  private static final long RANK_DELAY_MS = 200;
  private static final long HELD_DELAY_MS = 400;
  private static final long CLOCK_MARGIN_MS = 700;
  private static final int MAX_ROWS = 40;

  private final String self;
  private final long handoverPauseMs;
  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Seen> seen = new HashMap<>();
  private Map<String, String> engineDomains = Map.of();
  private Map<String, String> instanceDomains = Map.of();
  private boolean callInProgress;
  private long nextReadMs;
  private long nextRenewalMs;
  private boolean leaving;

  private record Held(long fencingNumber, long rowVersion, long confirmedMs) {}

  private record Heard(String holder, long rowVersion, long endsAtMs, long atMs) {}

  private record Seen(LeaseRecord row, long sinceMs) {}

  /**
   * Creates the leases of an instance that holds none.
   *
   * @param self name of this instance
   * @param handoverPauseMs least time between commands of two owners
   */
  public OrderLeases(String self, long handoverPauseMs) {
    this.self = self;
    this.handoverPauseMs = handoverPauseMs;
  }

  /** Applies an event and returns what to do. */
  public List<LeaseAction> handle(LeaseEvent event, long nowMs) {
    List<LeaseAction> actions = new ArrayList<>();
    switch (event) {
      case LeaseEvent.EnginesChanged(Map<String, String> live) -> enginesChanged(live, actions);
      case LeaseEvent.OwnerHeard(String holder, Map<String, LeaseStanding> leases) ->
          ownerHeard(holder, leases, nowMs);
      case LeaseEvent.InstancesChanged(Map<String, String> live) ->
          instanceDomains = Map.copyOf(live);
      case LeaseEvent.RowsRead(List<LeaseRecord> rows, long askedMs) ->
          rowsRead(rows, askedMs, nowMs);
      case LeaseEvent.Written written -> written(written, actions);
      case LeaseEvent.Rejected rejected -> rejected(rejected, nowMs, actions);
      case LeaseEvent.CallFailed failed -> callInProgress = false;
      case LeaseEvent.Paused paused -> paused();
      case LeaseEvent.Leaving left -> leaving = true;
      case LeaseEvent.Tick tick -> {}
    }
    next(nowMs).ifPresent(actions::add);
    return actions;
  }

  /** Returns whether a command may be sent to the engine now. */
  public boolean mayCommand(String engine, long nowMs) {
    Held lease = held.get(engine);
    return lease != null && !leaving && nowMs < lease.confirmedMs + TERM_MS - COMMAND_MARGIN_MS;
  }

  /** Returns the fencing number of an engine that this instance owns. */
  public long fencingNumber(String engine) {
    return held.get(engine).fencingNumber;
  }

  /** Returns all leases of this instance, also those that could not be renewed in time. */
  public Map<String, LeaseStanding> standings(long nowMs) {
    Map<String, LeaseStanding> standings = new TreeMap<>();
    held.forEach(
        (engine, lease) ->
            standings.put(
                engine,
                new LeaseStanding(
                    lease.rowVersion, Math.max(0, lease.confirmedMs + TERM_MS - nowMs))));
    return standings;
  }

  /** Returns whether no lease is held any longer. */
  public boolean isReleased() {
    return held.isEmpty();
  }

  /** Returns the instance that was last heard to own the engine; null when none was. */
  public String ownerOf(String engine, long nowMs) {
    if (mayCommand(engine, nowMs)) {
      return self;
    }
    Heard last = heard.get(engine);
    boolean owns =
        last != null
            && nowMs - last.atMs <= SILENCE_MS
            && nowMs < last.endsAtMs - COMMAND_MARGIN_MS;
    return owns ? last.holder : null;
  }

  private void enginesChanged(Map<String, String> domains, List<LeaseAction> actions) {
    engineDomains = Map.copyOf(domains);
    Set<String> live = domains.keySet();
    Set<String> ended = new HashSet<>(held.keySet());
    ended.removeAll(live);
    ended.forEach(
        engine -> {
          held.remove(engine);
          actions.add(new LeaseAction.Lost(engine, "engine_gone"));
        });
    seen.keySet().retainAll(live);
    heard.keySet().retainAll(live);
  }

  private void rowsRead(List<LeaseRecord> rows, long askedMs, long nowMs) {
    callInProgress = false;
    Map<String, LeaseRecord> byEngine = new HashMap<>();
    rows.forEach(row -> byEngine.put(row.engine(), row));
    engineDomains.keySet().stream()
        .filter(engine -> !isOwnedByOther(engine, nowMs))
        .map(engine -> byEngine.getOrDefault(engine, LeaseRecord.absent(engine)))
        .forEach(row -> note(row, askedMs));
  }

  private void ownerHeard(String holder, Map<String, LeaseStanding> leases, long nowMs) {
    heard
        .entrySet()
        .removeIf(
            entry -> entry.getValue().holder.equals(holder) && !leases.containsKey(entry.getKey()));
    leases.forEach(
        (engine, standing) -> {
          heard.put(engine, heardNow(engine, holder, standing, nowMs));
          Seen known = seen.get(engine);
          if (known != null && known.row.rowVersion() != standing.rowVersion()) {
            // The row was renewed since it was read.
            seen.remove(engine);
          }
        });
  }

  /** A lease whose row does not change ends at the earliest time that its holder ever named. */
  private Heard heardNow(String engine, String holder, LeaseStanding standing, long nowMs) {
    Heard before = heard.get(engine);
    boolean sameRow = before != null && before.rowVersion == standing.rowVersion();
    long earlierMs = sameRow ? before.endsAtMs : Long.MAX_VALUE;
    long endsAtMs = Math.min(earlierMs, nowMs + standing.remainingMs());
    return new Heard(holder, standing.rowVersion(), endsAtMs, nowMs);
  }

  private boolean isOwnedByOther(String engine, long nowMs) {
    String owner = ownerOf(engine, nowMs);
    return owner != null && !owner.equals(self);
  }

  private void note(LeaseRecord row, long sinceMs) {
    Seen known = seen.get(row.engine());
    if (known == null || known.row.rowVersion() != row.rowVersion()) {
      seen.put(row.engine(), new Seen(row, sinceMs));
    }
  }

  private void written(LeaseEvent.Written written, List<LeaseAction> actions) {
    callInProgress = false;
    nextRenewalMs = written.sentMs() + RENEWAL_MS;
    for (LeaseRecord row : written.rows()) {
      seen.remove(row.engine());
      if (row.released()) {
        held.remove(row.engine());
        actions.add(new LeaseAction.Lost(row.engine(), "released"));
        continue;
      }
      Held before = held.get(row.engine());
      long fencingNumber = before == null ? written.rowVersion() : before.fencingNumber;
      held.put(row.engine(), new Held(fencingNumber, written.rowVersion(), written.sentMs()));
      if (before == null) {
        actions.add(new LeaseAction.Gained(row.engine(), fencingNumber));
      }
    }
  }

  private void rejected(LeaseEvent.Rejected rejected, long nowMs, List<LeaseAction> actions) {
    callInProgress = false;
    Map<String, LeaseRecord> current = new HashMap<>();
    rejected.current().forEach(row -> current.put(row.engine(), row));
    for (LeaseRecord row : rejected.written()) {
      LeaseRecord now = current.get(row.engine());
      Held lease = held.get(row.engine());
      if (now == null) {
        continue;
      }
      if (lease != null && now.holder().equals(self)) {
        // An earlier renewal took effect although its answer was lost.
        held.put(row.engine(), new Held(lease.fencingNumber, now.rowVersion(), lease.confirmedMs));
      } else if (lease != null && now.rowVersion() != lease.rowVersion) {
        held.remove(row.engine());
        actions.add(new LeaseAction.Lost(row.engine(), "taken_by_" + now.holder()));
      }
      note(now, nowMs);
    }
    nextRenewalMs = nowMs;
  }

  private void paused() {
    held.replaceAll(
        (engine, lease) -> new Held(lease.fencingNumber, lease.rowVersion, Long.MIN_VALUE / 2));
    nextRenewalMs = Long.MIN_VALUE;
  }

  private Optional<LeaseAction> next(long nowMs) {
    if (callInProgress) {
      return Optional.empty();
    }
    List<LeaseRecord> writes = leaving ? releases() : renewals(nowMs);
    if (!leaving) {
      writes.addAll(claims(nowMs));
    }
    if (!writes.isEmpty()) {
      callInProgress = true;
      return Optional.of(
          new LeaseAction.WriteRows(writes.subList(0, Math.min(MAX_ROWS, writes.size()))));
    }
    if (!leaving
        && nowMs >= nextReadMs
        && engineDomains.keySet().stream().anyMatch(engine -> needsRead(engine, nowMs))) {
      callInProgress = true;
      nextReadMs = nowMs + READ_PERIOD_MS;
      return Optional.of(new LeaseAction.ReadRows());
    }
    return Optional.empty();
  }

  private boolean needsRead(String engine, long nowMs) {
    return !held.containsKey(engine) && ownerOf(engine, nowMs) == null && !seen.containsKey(engine);
  }

  private List<LeaseRecord> releases() {
    return held.entrySet().stream()
        .map(entry -> new LeaseRecord(entry.getKey(), self, true, entry.getValue().rowVersion))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private List<LeaseRecord> renewals(long nowMs) {
    if (nowMs < nextRenewalMs || held.isEmpty()) {
      return new ArrayList<>();
    }
    nextRenewalMs = nowMs + RENEWAL_MS;
    return held.entrySet().stream()
        .map(entry -> new LeaseRecord(entry.getKey(), self, false, entry.getValue().rowVersion))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private List<LeaseRecord> claims(long nowMs) {
    return engineDomains.keySet().stream()
        .filter(engine -> !held.containsKey(engine))
        .filter(engine -> mayClaim(engine, nowMs))
        .map(engine -> new LeaseRecord(engine, self, false, seen.get(engine).row.rowVersion()))
        .toList();
  }

  private boolean mayClaim(String engine, long nowMs) {
    Seen row = seen.get(engine);
    return row != null
        && !isOwnedByOther(engine, nowMs)
        && nowMs >= claimableAtMs(row) + claimDelayMs(engine);
  }

  /** Returns when commands of another instance than the row's holder are safe. */
  private long claimableAtMs(Seen seenRow) {
    LeaseRecord row = seenRow.row;
    if (row.rowVersion() == 0 || row.holder().equals(self)) {
      return seenRow.sinceMs;
    }
    long endsAtMs = row.released() ? seenRow.sinceMs : endsAtMs(seenRow);
    return endsAtMs + handoverPauseMs + CLOCK_MARGIN_MS;
  }

  private long endsAtMs(Seen seenRow) {
    long latestMs = seenRow.sinceMs + TERM_MS;
    Heard last = heard.get(seenRow.row.engine());
    boolean sameRow = last != null && last.rowVersion == seenRow.row.rowVersion();
    return sameRow ? Math.min(latestMs, last.endsAtMs) : latestMs;
  }

  private long claimDelayMs(String engine) {
    String domain = engineDomains.get(engine);
    List<String> ranked =
        Rendezvous.rank(engine, instanceDomains.keySet(), name -> name).stream()
            .sorted(Comparator.comparing(name -> !instanceDomains.get(name).equals(domain)))
            .toList();
    return Math.max(0, ranked.indexOf(self)) * RANK_DELAY_MS + held.size() * HELD_DELAY_MS;
  }
}
