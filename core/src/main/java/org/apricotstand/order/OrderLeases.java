package org.apricotstand.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apricotstand.placement.Rendezvous;

/**
 * Decides which engines this instance owns. A lease is held while its last confirmed renewal is
 * younger than {@link #TERM_MS}, counted from before the renewal was sent. Another instance takes
 * it only after the row stayed unchanged for the term and the pause that must lie between commands
 * of two owners.
 *
 * <pre>{@code
 * if (leases.mayCommand(engine, nowMs)) { ... }
 * }</pre>
 */
public final class OrderLeases {

  /** How long a renewal counts. */
  public static final long TERM_MS = 6_000;

  /** A command that is sent later than this before the end of the lease could arrive after it. */
  static final long COMMAND_MARGIN_MS = 600;

  private static final long RENEWAL_MS = 2_000;
  private static final long SILENCE_MS = 1_500;
  private static final long READ_PERIOD_MS = 1_000;
  // Instances with a lower rank or more engines claim later, so that ownership spreads.
  private static final long RANK_DELAY_MS = 300;
  private static final long CLOCK_MARGIN_MS = 300;
  private static final int MAX_ROWS = 40;

  private final String self;
  private final long handoverPauseMs;
  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Seen> seen = new HashMap<>();
  private Set<String> engines = Set.of();
  private Set<String> instances = Set.of();
  private boolean callInProgress;
  private long nextReadMs;
  private long nextRenewalMs;
  private boolean leaving;

  private record Held(long fencingNumber, long rowVersion, long confirmedMs) {}

  private record Heard(String holder, long atMs) {}

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
      case LeaseEvent.EnginesChanged(Set<String> live) -> enginesChanged(live, actions);
      case LeaseEvent.OwnerHeard(String holder, Set<String> owned) ->
          owned.forEach(engine -> ownerHeard(engine, holder, nowMs));
      case LeaseEvent.InstancesChanged(Set<String> live) -> instances = Set.copyOf(live);
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

  /** Returns the engines that this instance may command now. */
  public Set<String> owned(long nowMs) {
    return held.keySet().stream()
        .filter(engine -> mayCommand(engine, nowMs))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Returns the instance that was last heard to own the engine; null when none was. */
  public String ownerOf(String engine, long nowMs) {
    if (mayCommand(engine, nowMs)) {
      return self;
    }
    Heard last = heard.get(engine);
    return last == null || nowMs - last.atMs > SILENCE_MS ? null : last.holder;
  }

  private void enginesChanged(Set<String> live, List<LeaseAction> actions) {
    engines = Set.copyOf(live);
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
    engines.stream()
        .filter(engine -> !isOwnedByOther(engine, nowMs))
        .map(engine -> byEngine.getOrDefault(engine, new LeaseRecord(engine, "", 0)))
        .forEach(row -> note(row, askedMs));
  }

  /** While the owner lives, what was seen of its row before says nothing about its next change. */
  private void ownerHeard(String engine, String holder, long nowMs) {
    heard.put(engine, new Heard(holder, nowMs));
    if (!held.containsKey(engine)) {
      seen.remove(engine);
    }
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
      if (row.holder().isEmpty()) {
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
    if (!leaving && nowMs >= nextReadMs && engines.stream().anyMatch(e -> needsRead(e, nowMs))) {
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
        .map(entry -> new LeaseRecord(entry.getKey(), "", entry.getValue().rowVersion))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private List<LeaseRecord> renewals(long nowMs) {
    if (nowMs < nextRenewalMs || held.isEmpty()) {
      return new ArrayList<>();
    }
    nextRenewalMs = nowMs + RENEWAL_MS;
    return held.entrySet().stream()
        .map(entry -> new LeaseRecord(entry.getKey(), self, entry.getValue().rowVersion))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private List<LeaseRecord> claims(long nowMs) {
    return engines.stream()
        .filter(engine -> !held.containsKey(engine))
        .filter(engine -> mayClaim(engine, nowMs))
        .map(engine -> new LeaseRecord(engine, self, seen.get(engine).row.rowVersion()))
        .toList();
  }

  private boolean mayClaim(String engine, long nowMs) {
    Seen row = seen.get(engine);
    if (row == null || isOwnedByOther(engine, nowMs)) {
      return false;
    }
    long rank = Rendezvous.rank(engine, instances, name -> name).indexOf(self);
    return nowMs
        >= row.sinceMs + pauseMs(row.row) + (Math.max(0, rank) + held.size()) * RANK_DELAY_MS;
  }

  private long pauseMs(LeaseRecord row) {
    if (row.rowVersion() == 0 || row.holder().equals(self)) {
      return 0;
    }
    long terms = row.holder().isEmpty() ? 0 : TERM_MS;
    return terms + handoverPauseMs + CLOCK_MARGIN_MS;
  }
}
