package org.apricotstand.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.ModelSpec;

/**
 * Decides the commands to one engine, at its owner: loads what requests wait for, and drops the
 * least popular adapter that is not in use when no place is free. One command is outstanding at a
 * time, and each carries the sequence it expects, so that a command that is carried out late
 * changes nothing.
 *
 * <p>An engine that drops or replaces an adapter in use carries out nothing else until the last run
 * on it ends. Reports of use lag, so an adapter is first retired: it is no longer published as
 * resident, and is dropped only if nobody has reported to use it when all uses must be known. A few
 * are retired in advance, so that loads need not wait; one that is wanted again is back at once.
 *
 * <pre>{@code
 * List<SlotAction> actions = slots.handle(new SlotEvent.Wanted(key, 0, deadlineMs), nowMs);
 * }</pre>
 */
public final class EngineSlots {

  /** Pause before a report is read after a command without an answer; reports lag this much. */
  static final long REPORT_LAG_MS = 400;

  /** Pause between two checks whether a load is complete. */
  static final long CHECK_PERIOD_MS = 25;

  /** How long an adapter takes to arrive while few are on their way. */
  static final long ADAPTER_LOAD_MS = 250;

  /** Longer than the transport waits for any answer of an engine. */
  static final long CALL_LIMIT_MS = 2_000;

  /** Change in the number of queued loads that the other instances hear of by itself. */
  private static final int QUEUE_STEP = 2;

  private static final long CONFLICT_PAUSE_MS = 150;

  /** Checks that conflict this often in a row show that the sequence is not what it seemed. */
  private static final int MAX_CONFLICTING_CHECKS = 3;

  /** Commands without an answer in a row after which the engine is asked for a report. */
  static final int MAX_UNANSWERED = 4;

  /** Requests that wait for an adapter hear of its arrival and are sent within this time. */
  static final long MIN_STAY_MS = 700;

  /** One in so many places is kept free or retired. */
  private static final int PLACES_PER_READY_PLACE = 4;

  private static final long REPORT_RETRY_MS = 300;
  private static final long REFUSAL_PAUSE_MS = 1_000;
  private static final long UNKNOWN_NAME_MS = 30_000;
  private static final long ANY_SEQUENCE = -1;

  private final EngineSpec spec;
  private final AdapterUse use;
  private final int maxArriving;
  private final Map<AdapterKey, Long> resident = new HashMap<>();
  private final Map<AdapterKey, Arrival> arriving = new LinkedHashMap<>();
  private final Map<AdapterKey, Long> arrivedMs = new HashMap<>();
  private final Map<AdapterKey, Long> retiredMs = new HashMap<>();
  private final Set<AdapterKey> leaving = new HashSet<>();
  private final Map<AdapterKey, Demand> wanted = new LinkedHashMap<>();
  private final Map<AdapterKey, Long> unknownUntilMs = new HashMap<>();
  private long sequence = ANY_SEQUENCE;
  private long commandNumber;
  private long overdueMs;
  private EngineCommand outstanding;
  private boolean outstandingIsCheck;
  private int conflictingChecks;
  private int unansweredInRow;
  private boolean reportAsked;
  private long notBeforeMs;
  private boolean changed;
  private int publishedQueue;

  private record Arrival(long version, long checkAtMs) {}

  private record Demand(long version, long deadlineMs, long onTimeUntilMs) {
    Demand plus(Demand other) {
      return new Demand(
          Math.max(version, other.version),
          Math.max(deadlineMs, other.deadlineMs),
          Math.max(onTimeUntilMs, other.onTimeUntilMs));
    }
  }

  /**
   * Creates the slots of an engine about which nothing is known.
   *
   * @param use how much each adapter is used
   * @param maxArriving most adapters that are on their way to the engine at once
   */
  public EngineSlots(EngineSpec spec, AdapterUse use, int maxArriving) {
    this.spec = spec;
    this.use = use;
    this.maxArriving = maxArriving;
  }

  /** Applies an event and returns what to do. */
  public List<SlotAction> handle(SlotEvent event, long nowMs) {
    switch (event) {
      case SlotEvent.Wanted want -> demand(want, nowMs);
      case SlotEvent.Answered answer -> {
        if (outstanding != null && answer.number() == commandNumber) {
          answered(answer.result(), nowMs);
        }
      }
      case SlotEvent.Reported reported -> reported(reported.report(), nowMs);
      case SlotEvent.ReportFailed failed -> reportFailed(nowMs);
      case SlotEvent.Contradicted contradicted -> {
        if (outstanding == null && !reportAsked && sequence != ANY_SEQUENCE) {
          forget(nowMs + REPORT_LAG_MS);
        }
      }
      case SlotEvent.Tick tick -> ticked(nowMs);
    }
    List<SlotAction> actions = new ArrayList<>();
    next(nowMs).ifPresent(actions::add);
    if (changed || Math.abs(wanted.size() - publishedQueue) >= QUEUE_STEP) {
      changed = false;
      publishedQueue = wanted.size();
      actions.add(new SlotAction.Publish(residency()));
    }
    return actions;
  }

  /** Returns what the engine holds. */
  public Residency residency() {
    Map<AdapterKey, Long> usable = new HashMap<>(resident);
    usable.keySet().removeIf(key -> retiredMs.containsKey(key) && isCurrent(key));
    return new Residency(usable, arriving.keySet(), Set.of(), wanted.size());
  }

  /** Returns whether commands wait or are in progress. */
  public boolean isActive() {
    return outstanding != null || reportAsked || !wanted.isEmpty() || !arriving.isEmpty();
  }

  /** A call that reports nothing counts as unanswered: it may still be carried out. */
  private void ticked(long nowMs) {
    wanted.values().removeIf(demand -> demand.deadlineMs < nowMs);
    retire(nowMs);
    if (nowMs < overdueMs) {
      return;
    }
    if (outstanding != null) {
      answered(CommandResult.UNANSWERED, nowMs);
    } else if (reportAsked) {
      reportFailed(nowMs);
    }
  }

  private void retire(long nowMs) {
    changed |=
        retiredMs
            .entrySet()
            .removeIf(entry -> isRetired(entry.getKey(), nowMs) && isKept(entry.getKey()));
    resident.keySet().stream()
        .filter(key -> !key.isModel() && !isCurrent(key))
        .forEach(key -> retiredMs.putIfAbsent(key, nowMs));
    long ready = places() - usedPlaces() + retiredMs.size();
    while (ready < readyPlaces()) {
      Optional<AdapterKey> next = leastPopular(key -> mayRetire(key, nowMs));
      if (next.isEmpty()) {
        return;
      }
      retiredMs.put(next.get(), nowMs);
      changed = true;
      ready++;
    }
  }

  private long readyPlaces() {
    return Math.max(1, Math.min(maxArriving, places() / PLACES_PER_READY_PLACE));
  }

  /** A retired adapter that turns out to be in use stays, unless it is outdated. */
  private boolean isKept(AdapterKey key) {
    return use.isRunning(key) && isCurrent(key);
  }

  private boolean mayRetire(AdapterKey key, long nowMs) {
    return !retiredMs.containsKey(key)
        && !use.isRunning(key)
        && !wanted.containsKey(key)
        && nowMs - arrivedMs.getOrDefault(key, Long.MIN_VALUE / 2) >= MIN_STAY_MS;
  }

  /** Returns whether nobody has been able to use the adapter unnoticed any more. */
  private boolean isRetired(AdapterKey key, long nowMs) {
    Long sinceMs = retiredMs.get(key);
    return sinceMs != null && nowMs - sinceMs >= use.reportLagMs();
  }

  private void demand(SlotEvent.Wanted want, long nowMs) {
    Long held = resident.get(want.key());
    if (held != null && held >= want.version()) {
      if (retiredMs.remove(want.key()) != null) {
        arrivedMs.put(want.key(), nowMs);
      }
      changed = true;
      return;
    }
    if (held != null) {
      retiredMs.putIfAbsent(want.key(), nowMs);
    }
    Demand demand = new Demand(want.version(), want.deadlineMs(), want.onTimeUntilMs());
    wanted.merge(want.key(), demand, Demand::plus);
  }

  private void reported(EngineReport report, long nowMs) {
    reportAsked = false;
    sequence = report.sequence();
    resident.clear();
    resident.putAll(report.resident());
    arrivedMs.keySet().retainAll(resident.keySet());
    retiredMs.keySet().retainAll(resident.keySet());
    leaving.clear();
    Map<AdapterKey, Arrival> known = Map.copyOf(arriving);
    arriving.clear();
    report
        .arriving()
        .forEach(
            key -> {
              long version = known.containsKey(key) ? known.get(key).version : 0;
              arriving.put(key, new Arrival(version, nowMs + CHECK_PERIOD_MS));
            });
    if (report.busy()) {
      notBeforeMs = nowMs + CONFLICT_PAUSE_MS;
      sequence = ANY_SEQUENCE;
    }
    changed = true;
  }

  private void reportFailed(long nowMs) {
    reportAsked = false;
    notBeforeMs = nowMs + REPORT_RETRY_MS;
  }

  private void answered(CommandResult result, long nowMs) {
    EngineCommand command = outstanding;
    outstanding = null;
    if (result != CommandResult.UNANSWERED) {
      unansweredInRow = 0;
    }
    switch (result) {
      case ACCEPTED -> accepted(command, nowMs);
      case HOLDS -> holds(command, nowMs);
      case CONFLICT -> conflict(command, nowMs);
      case UNKNOWN_NAME -> {
        wanted.remove(command.key());
        unknownUntilMs.put(command.key(), nowMs + UNKNOWN_NAME_MS);
      }
      case REFUSED -> forget(nowMs + REFUSAL_PAUSE_MS);
      // Unanswered: it may have been carried out, or may still be.
      default -> unanswered(nowMs);
    }
  }

  /**
   * Keeps the sequence, so that the command is sent again: whichever of the two the engine carries
   * out first changes its sequence, and the other one is then refused however late it comes.
   */
  private void unanswered(long nowMs) {
    unansweredInRow++;
    if (unansweredInRow >= MAX_UNANSWERED) {
      unansweredInRow = 0;
      forget(nowMs + REPORT_LAG_MS);
    }
  }

  private void accepted(EngineCommand command, long nowMs) {
    if (outstandingIsCheck) {
      // The load is still in progress. Commands that are in progress already do not count.
      return;
    }
    advance();
    switch (command) {
      case EngineCommand.Load(AdapterKey key, long version) -> {
        boolean replaced = resident.remove(key) != null;
        retiredMs.remove(key);
        wanted.remove(key);
        if (replaced) {
          // The engine carries out nothing else meanwhile. The same command again would start a
          // second replacement, so that only reports tell when it is done.
          forget(nowMs + REPORT_LAG_MS);
        } else {
          arriving.put(key, new Arrival(version, nowMs + loadMs(key)));
        }
      }
      case EngineCommand.Unload(AdapterKey key) -> {
        resident.remove(key);
        retiredMs.remove(key);
        leaving.add(key);
        // The place is free when the last run on the adapter ends; a report tells.
        forget(nowMs + REPORT_LAG_MS);
      }
    }
    changed = true;
  }

  private void holds(EngineCommand command, long nowMs) {
    conflictingChecks = 0;
    switch (command) {
      case EngineCommand.Load(AdapterKey key, long version) -> {
        Arrival arrival = arriving.remove(key);
        arrivedMs.put(key, nowMs);
        wanted.remove(key);
        resident.put(key, Math.max(version, arrival == null ? 1 : Math.max(1, arrival.version)));
      }
      case EngineCommand.Unload(AdapterKey key) -> {
        resident.remove(key);
        retiredMs.remove(key);
        leaving.remove(key);
        arrivedMs.remove(key);
        advance();
      }
    }
    changed = true;
  }

  private void conflict(EngineCommand command, long nowMs) {
    boolean stillArriving = outstandingIsCheck && arriving.containsKey(command.key());
    if (stillArriving && ++conflictingChecks < MAX_CONFLICTING_CHECKS) {
      return;
    }
    conflictingChecks = 0;
    forget(nowMs + CONFLICT_PAUSE_MS);
  }

  private void advance() {
    if (sequence != ANY_SEQUENCE) {
      sequence++;
    }
  }

  private void forget(long untilMs) {
    sequence = ANY_SEQUENCE;
    notBeforeMs = untilMs;
  }

  private Optional<SlotAction> next(long nowMs) {
    if (outstanding != null || reportAsked || nowMs < notBeforeMs) {
      return Optional.empty();
    }
    if (sequence == ANY_SEQUENCE) {
      reportAsked = true;
      overdueMs = nowMs + CALL_LIMIT_MS;
      return Optional.of(new SlotAction.AskReport());
    }
    return dueCheck(nowMs).or(() -> firstModel(nowMs)).or(() -> nextLoad(nowMs));
  }

  private Optional<SlotAction> dueCheck(long nowMs) {
    return arriving.entrySet().stream()
        .filter(entry -> entry.getValue().checkAtMs <= nowMs)
        .findFirst()
        .map(
            entry ->
                check(new EngineCommand.Load(entry.getKey(), entry.getValue().version), nowMs));
  }

  private SlotAction check(EngineCommand.Load load, long nowMs) {
    arriving.put(load.key(), new Arrival(load.version(), nowMs + CHECK_PERIOD_MS));
    outstandingIsCheck = true;
    return sent(load, nowMs);
  }

  private Optional<SlotAction> firstModel(long nowMs) {
    boolean holdsModel =
        resident.keySet().stream().anyMatch(AdapterKey::isModel)
            || arriving.keySet().stream().anyMatch(AdapterKey::isModel);
    if (holdsModel || spec.models().isEmpty()) {
      return Optional.empty();
    }
    AdapterKey model = new AdapterKey(modelToLoad().name(), "");
    return Optional.of(send(new EngineCommand.Load(model, 0), nowMs));
  }

  private ModelSpec modelToLoad() {
    return wanted.keySet().stream()
        .flatMap(key -> spec.model(key.model()).stream())
        .findFirst()
        .orElse(spec.models().getFirst());
  }

  private Optional<SlotAction> nextLoad(long nowMs) {
    if (arriving.size() >= maxArriving) {
      return Optional.empty();
    }
    return wanted.entrySet().stream()
        .filter(entry -> resident.containsKey(entry.getKey().modelKey()))
        .filter(entry -> !arriving.containsKey(entry.getKey()))
        .filter(entry -> unknownUntilMs.getOrDefault(entry.getKey(), 0L) <= nowMs)
        .sorted(Comparator.comparing(Map.Entry::getValue, byUrgency(nowMs)))
        .flatMap(entry -> loadOrMakeRoom(entry.getKey(), entry.getValue(), nowMs).stream())
        .findFirst();
  }

  /**
   * Puts requests that can still be answered in time first, the most urgent of them before the
   * others. In an overload all would be late in the order of their arrival; so only those are late
   * that have to be, and they are loaded when nothing else is urgent.
   */
  private static Comparator<Demand> byUrgency(long nowMs) {
    return Comparator.comparing((Demand demand) -> demand.onTimeUntilMs < nowMs)
        .thenComparingLong(demand -> demand.onTimeUntilMs);
  }

  private Optional<SlotAction> loadOrMakeRoom(AdapterKey key, Demand demand, long nowMs) {
    if (resident.containsKey(key)) {
      // A replacement waits for the runs on the old version and blocks all other commands.
      boolean idle = isRetired(key, nowMs) && !use.isRunning(key);
      return idle
          ? Optional.of(send(new EngineCommand.Load(key, demand.version), nowMs))
          : Optional.empty();
    }
    if (usedPlaces() < places()) {
      return Optional.of(send(new EngineCommand.Load(key, demand.version), nowMs));
    }
    return leastPopular(candidate -> isDroppable(candidate, nowMs))
        .map(victim -> send(new EngineCommand.Unload(victim), nowMs));
  }

  private boolean isDroppable(AdapterKey key, long nowMs) {
    return isRetired(key, nowMs) && !use.isRunning(key) && !wanted.containsKey(key);
  }

  private Optional<AdapterKey> leastPopular(Predicate<AdapterKey> eligible) {
    return resident.keySet().stream()
        .filter(key -> !key.isModel())
        .filter(eligible)
        .min(
            Comparator.comparing(this::isCurrent)
                .thenComparingDouble(use::popularity)
                .thenComparing(AdapterKey::toString));
  }

  private boolean isCurrent(AdapterKey key) {
    return resident.get(key) >= use.declaredVersion(key);
  }

  private SlotAction send(EngineCommand command, long nowMs) {
    outstandingIsCheck = false;
    return sent(command, nowMs);
  }

  private SlotAction sent(EngineCommand command, long nowMs) {
    outstanding = command;
    overdueMs = nowMs + CALL_LIMIT_MS;
    commandNumber++;
    return new SlotAction.Send(command, sequence, commandNumber);
  }

  private long usedPlaces() {
    long held = resident.keySet().stream().filter(key -> !key.isModel()).count();
    long coming = arriving.keySet().stream().filter(key -> !key.isModel()).count();
    return held + coming + leaving.size();
  }

  private long places() {
    double weightsMb =
        resident.keySet().stream()
            .filter(AdapterKey::isModel)
            .flatMap(key -> spec.model(key.model()).stream())
            .mapToDouble(ModelSpec::weightsMb)
            .sum();
    double adapterMb = spec.models().stream().mapToDouble(ModelSpec::adapterMb).max().orElse(0);
    if (adapterMb <= 0) {
      return spec.maxAdapters();
    }
    return Math.min(spec.maxAdapters(), (long) ((spec.memoryMb() - weightsMb) / adapterMb));
  }

  private long loadMs(AdapterKey key) {
    return key.isModel()
        ? spec.model(key.model()).map(ModelSpec::loadMs).orElse(0L)
        : ADAPTER_LOAD_MS;
  }
}
