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
 * Decides the load and unload commands to one engine; used by the instance that owns the engine. It
 * loads the adapters that requests wait for and, when no slot is free, evicts the least popular
 * adapter that is not in use. Only one command is outstanding at a time. Each command carries the
 * sequence that the engine must have, so that a command that is carried out late has no effect.
 *
 * <p>While an engine unloads or replaces an adapter that is in use, it carries out no other command
 * until the last request on that adapter ends. Since reports of usage lag, an adapter is retired
 * before it is evicted: it is no longer published as resident, and is evicted only if no instance
 * has reported a use after the time by which every use has been reported. A few adapters are
 * retired in advance, so that loads need not wait. A retired adapter that is requested again
 * becomes resident at once, without a load.
 *
 * <pre>{@code
 * SlotEvent event = new SlotEvent.LoadRequested(key, 0, deadlineMs, latestStartMs);
 * List<SlotAction> actions = slots.handle(event, nowMs);
 * }</pre>
 */
public final class EngineSlots {

  /**
   * Lag of the reports of an engine. After a command that may have been carried out unnoticed, this
   * time passes before a report is requested.
   */
  static final long ENGINE_REPORT_LAG_MS = 400;

  /** Time between two checks whether a load is complete. */
  static final long LOAD_CHECK_PERIOD_MS = 25;

  /** Duration of an adapter load while few loads are in progress; checks start after it. */
  static final long ADAPTER_LOAD_MS = 250;

  /** Time limit of a call to the engine; longer than the timeout of the transport. */
  static final long CALL_TIMEOUT_MS = 2_000;

  /** Change in the number of queued loads that alone causes the residency to be published. */
  private static final int QUEUE_PUBLISH_STEP = 2;

  private static final long CONFLICT_BACKOFF_MS = 150;

  /** Conflicting load checks in a row after which the recorded sequence is taken to be wrong. */
  private static final int MAX_CONSECUTIVE_CHECK_CONFLICTS = 3;

  /** Unanswered commands in a row after which a report is requested from the engine. */
  static final int MAX_CONSECUTIVE_UNANSWERED = 4;

  /**
   * Minimum time that an adapter stays resident after its load. Within it, the requests that wait
   * for the adapter are notified and sent.
   */
  static final long MIN_RESIDENT_MS = 700;

  /** One in this many slots is kept free or holds a retired adapter. */
  private static final int SLOTS_PER_SPARE_SLOT = 4;

  private static final long REPORT_RETRY_DELAY_MS = 300;
  private static final long REFUSAL_BACKOFF_MS = 1_000;
  private static final long UNKNOWN_NAME_BACKOFF_MS = 30_000;
  private static final long UNKNOWN_SEQUENCE = -1;

  private final EngineSpec spec;
  private final AdapterUsage usage;
  private final int maxConcurrentLoads;
  private final Map<AdapterKey, Long> resident = new HashMap<>();
  private final Map<AdapterKey, LoadInProgress> loading = new LinkedHashMap<>();
  private final Map<AdapterKey, Long> loadedAtMs = new HashMap<>();
  private final Map<AdapterKey, Long> retiredAtMs = new HashMap<>();
  private final Set<AdapterKey> unloading = new HashSet<>();
  private final Map<AdapterKey, QueuedLoad> queuedLoads = new LinkedHashMap<>();
  private final Map<AdapterKey, Long> unknownNameUntilMs = new HashMap<>();
  private long sequence = UNKNOWN_SEQUENCE;
  private long lastCommandId;
  private long callDeadlineMs;
  private EngineCommand outstandingCommand;
  private boolean outstandingIsLoadCheck;
  private int consecutiveCheckConflicts;
  private int consecutiveUnanswered;
  private boolean reportRequested;
  private long backoffUntilMs;
  private boolean residencyChanged;
  private int publishedQueueLength;

  private record LoadInProgress(long version, long nextCheckMs) {}

  private record QueuedLoad(long version, long deadlineMs, long latestStartMs) {
    QueuedLoad mergeWith(QueuedLoad other) {
      return new QueuedLoad(
          Math.max(version, other.version),
          Math.max(deadlineMs, other.deadlineMs),
          Math.max(latestStartMs, other.latestStartMs));
    }
  }

  /**
   * Creates the state of an engine about which nothing is known.
   *
   * @param spec slots and models of the engine
   * @param usage usage of each adapter
   * @param maxConcurrentLoads maximum number of loads in progress at the engine
   */
  public EngineSlots(EngineSpec spec, AdapterUsage usage, int maxConcurrentLoads) {
    this.spec = spec;
    this.usage = usage;
    this.maxConcurrentLoads = maxConcurrentLoads;
  }

  /** Applies an event and returns the actions to carry out, in order. */
  public List<SlotAction> handle(SlotEvent event, long nowMs) {
    switch (event) {
      case SlotEvent.LoadRequested requested -> queueLoad(requested, nowMs);
      case SlotEvent.CommandAnswered answer -> {
        if (outstandingCommand != null && answer.commandId() == lastCommandId) {
          applyResult(answer.result(), nowMs);
        }
      }
      case SlotEvent.ReportReceived received -> applyReport(received.report(), nowMs);
      case SlotEvent.ReportFailed failed -> applyReportFailure(nowMs);
      case SlotEvent.AdapterMissing missing -> {
        if (outstandingCommand == null && !reportRequested && sequence != UNKNOWN_SEQUENCE) {
          discardSequence(nowMs + ENGINE_REPORT_LAG_MS);
        }
      }
      case SlotEvent.Tick tick -> applyTick(nowMs);
    }
    List<SlotAction> actions = new ArrayList<>();
    nextCall(nowMs).ifPresent(actions::add);
    if (residencyChanged
        || Math.abs(queuedLoads.size() - publishedQueueLength) >= QUEUE_PUBLISH_STEP) {
      residencyChanged = false;
      publishedQueueLength = queuedLoads.size();
      actions.add(new SlotAction.Publish(residency()));
    }
    return actions;
  }

  /** Returns what the engine holds, without retired adapters that have their declared version. */
  public Residency residency() {
    Map<AdapterKey, Long> usable = new HashMap<>(resident);
    usable.keySet().removeIf(key -> retiredAtMs.containsKey(key) && isCurrent(key));
    return new Residency(usable, loading.keySet(), Set.of(), queuedLoads.size());
  }

  /** Returns whether calls or loads are in progress or queued. */
  public boolean isActive() {
    return outstandingCommand != null
        || reportRequested
        || !queuedLoads.isEmpty()
        || !loading.isEmpty();
  }

  /**
   * Drops queued loads past their deadline, retires adapters and times out the outstanding call. A
   * command that timed out counts as unanswered, because it may still be carried out.
   */
  private void applyTick(long nowMs) {
    queuedLoads.values().removeIf(load -> load.deadlineMs < nowMs);
    retireAdapters(nowMs);
    if (nowMs < callDeadlineMs) {
      return;
    }
    if (outstandingCommand != null) {
      applyResult(CommandResult.UNANSWERED, nowMs);
    } else if (reportRequested) {
      applyReportFailure(nowMs);
    }
  }

  private void retireAdapters(long nowMs) {
    residencyChanged |=
        retiredAtMs
            .entrySet()
            .removeIf(
                entry ->
                    isRetirementComplete(entry.getKey(), nowMs)
                        && mustStayResident(entry.getKey()));
    resident.keySet().stream()
        .filter(key -> !key.isModel() && !isCurrent(key))
        .forEach(key -> retiredAtMs.putIfAbsent(key, nowMs));
    long spareSlots = slotCount() - usedSlots() + retiredAtMs.size();
    while (spareSlots < wantedSpareSlots()) {
      Optional<AdapterKey> next = leastPopular(key -> mayRetire(key, nowMs));
      if (next.isEmpty()) {
        return;
      }
      retiredAtMs.put(next.get(), nowMs);
      residencyChanged = true;
      spareSlots++;
    }
  }

  private long wantedSpareSlots() {
    return Math.max(1, Math.min(maxConcurrentLoads, slotCount() / SLOTS_PER_SPARE_SLOT));
  }

  /** Returns whether a retired adapter stays because it is in use and not outdated. */
  private boolean mustStayResident(AdapterKey key) {
    return usage.isInUse(key) && isCurrent(key);
  }

  private boolean mayRetire(AdapterKey key, long nowMs) {
    return !retiredAtMs.containsKey(key)
        && !usage.isInUse(key)
        && !queuedLoads.containsKey(key)
        && nowMs - loadedAtMs.getOrDefault(key, Long.MIN_VALUE / 2) >= MIN_RESIDENT_MS;
  }

  /** Returns whether the adapter was retired so long ago that all uses have been reported. */
  private boolean isRetirementComplete(AdapterKey key, long nowMs) {
    Long sinceMs = retiredAtMs.get(key);
    return sinceMs != null && nowMs - sinceMs >= usage.usageReportLagMs();
  }

  private void queueLoad(SlotEvent.LoadRequested request, long nowMs) {
    Long residentVersion = resident.get(request.key());
    if (residentVersion != null && residentVersion >= request.version()) {
      if (retiredAtMs.remove(request.key()) != null) {
        loadedAtMs.put(request.key(), nowMs);
      }
      residencyChanged = true;
      return;
    }
    if (residentVersion != null) {
      retiredAtMs.putIfAbsent(request.key(), nowMs);
    }
    QueuedLoad load =
        new QueuedLoad(request.version(), request.deadlineMs(), request.latestStartMs());
    queuedLoads.merge(request.key(), load, QueuedLoad::mergeWith);
  }

  private void applyReport(EngineReport report, long nowMs) {
    reportRequested = false;
    sequence = report.sequence();
    resident.clear();
    resident.putAll(report.resident());
    loadedAtMs.keySet().retainAll(resident.keySet());
    retiredAtMs.keySet().retainAll(resident.keySet());
    unloading.clear();
    Map<AdapterKey, LoadInProgress> known = Map.copyOf(loading);
    loading.clear();
    report
        .arriving()
        .forEach(
            key -> {
              long version = known.containsKey(key) ? known.get(key).version : 0;
              loading.put(key, new LoadInProgress(version, nowMs + LOAD_CHECK_PERIOD_MS));
            });
    if (report.busy()) {
      backoffUntilMs = nowMs + CONFLICT_BACKOFF_MS;
      sequence = UNKNOWN_SEQUENCE;
    }
    residencyChanged = true;
  }

  private void applyReportFailure(long nowMs) {
    reportRequested = false;
    backoffUntilMs = nowMs + REPORT_RETRY_DELAY_MS;
  }

  private void applyResult(CommandResult result, long nowMs) {
    EngineCommand command = outstandingCommand;
    outstandingCommand = null;
    if (result != CommandResult.UNANSWERED) {
      consecutiveUnanswered = 0;
    }
    switch (result) {
      case ACCEPTED -> applyAccepted(command, nowMs);
      case HOLDS -> applyHolds(command, nowMs);
      case CONFLICT -> applyConflict(command, nowMs);
      case UNKNOWN_NAME -> {
        queuedLoads.remove(command.key());
        unknownNameUntilMs.put(command.key(), nowMs + UNKNOWN_NAME_BACKOFF_MS);
      }
      case REFUSED -> discardSequence(nowMs + REFUSAL_BACKOFF_MS);
      // UNANSWERED: the command may have been carried out, or may still be.
      default -> applyUnanswered(nowMs);
    }
  }

  /**
   * Keeps the sequence, so that the same command is sent again with it. The engine carries out
   * whichever of the two arrives first and thereby changes its sequence, and refuses the other one,
   * however late it arrives.
   */
  private void applyUnanswered(long nowMs) {
    consecutiveUnanswered++;
    if (consecutiveUnanswered >= MAX_CONSECUTIVE_UNANSWERED) {
      consecutiveUnanswered = 0;
      discardSequence(nowMs + ENGINE_REPORT_LAG_MS);
    }
  }

  private void applyAccepted(EngineCommand command, long nowMs) {
    if (outstandingIsLoadCheck) {
      // The load is still in progress. The engine does not count a command that it is already
      // carrying out, so the sequence stays.
      return;
    }
    advanceSequence();
    switch (command) {
      case EngineCommand.Load(AdapterKey key, long version) -> {
        boolean replaced = resident.remove(key) != null;
        retiredAtMs.remove(key);
        queuedLoads.remove(key);
        if (replaced) {
          // The engine carries out no other command until the replacement is done. Sending the
          // command again as a check would start a second replacement, so progress is read from
          // reports only.
          discardSequence(nowMs + ENGINE_REPORT_LAG_MS);
        } else {
          loading.put(key, new LoadInProgress(version, nowMs + loadMs(key)));
        }
      }
      case EngineCommand.Unload(AdapterKey key) -> {
        resident.remove(key);
        retiredAtMs.remove(key);
        unloading.add(key);
        // The slot is free when the last request on the adapter has ended; a report shows when.
        discardSequence(nowMs + ENGINE_REPORT_LAG_MS);
      }
    }
    residencyChanged = true;
  }

  private void applyHolds(EngineCommand command, long nowMs) {
    consecutiveCheckConflicts = 0;
    switch (command) {
      case EngineCommand.Load(AdapterKey key, long version) -> {
        LoadInProgress load = loading.remove(key);
        loadedAtMs.put(key, nowMs);
        queuedLoads.remove(key);
        resident.put(key, Math.max(version, load == null ? 1 : Math.max(1, load.version)));
      }
      case EngineCommand.Unload(AdapterKey key) -> {
        resident.remove(key);
        retiredAtMs.remove(key);
        unloading.remove(key);
        loadedAtMs.remove(key);
        advanceSequence();
      }
    }
    residencyChanged = true;
  }

  private void applyConflict(EngineCommand command, long nowMs) {
    boolean loadInProgress = outstandingIsLoadCheck && loading.containsKey(command.key());
    if (loadInProgress && ++consecutiveCheckConflicts < MAX_CONSECUTIVE_CHECK_CONFLICTS) {
      return;
    }
    consecutiveCheckConflicts = 0;
    discardSequence(nowMs + CONFLICT_BACKOFF_MS);
  }

  private void advanceSequence() {
    if (sequence != UNKNOWN_SEQUENCE) {
      sequence++;
    }
  }

  private void discardSequence(long untilMs) {
    sequence = UNKNOWN_SEQUENCE;
    backoffUntilMs = untilMs;
  }

  private Optional<SlotAction> nextCall(long nowMs) {
    if (outstandingCommand != null || reportRequested || nowMs < backoffUntilMs) {
      return Optional.empty();
    }
    if (sequence == UNKNOWN_SEQUENCE) {
      reportRequested = true;
      callDeadlineMs = nowMs + CALL_TIMEOUT_MS;
      return Optional.of(new SlotAction.RequestReport());
    }
    return dueLoadCheck(nowMs).or(() -> initialModelLoad(nowMs)).or(() -> nextLoad(nowMs));
  }

  private Optional<SlotAction> dueLoadCheck(long nowMs) {
    return loading.entrySet().stream()
        .filter(entry -> entry.getValue().nextCheckMs <= nowMs)
        .findFirst()
        .map(
            entry ->
                sendLoadCheck(
                    new EngineCommand.Load(entry.getKey(), entry.getValue().version), nowMs));
  }

  private SlotAction sendLoadCheck(EngineCommand.Load load, long nowMs) {
    loading.put(load.key(), new LoadInProgress(load.version(), nowMs + LOAD_CHECK_PERIOD_MS));
    outstandingIsLoadCheck = true;
    return setOutstanding(load, nowMs);
  }

  private Optional<SlotAction> initialModelLoad(long nowMs) {
    boolean holdsModel =
        resident.keySet().stream().anyMatch(AdapterKey::isModel)
            || loading.keySet().stream().anyMatch(AdapterKey::isModel);
    if (holdsModel || spec.models().isEmpty()) {
      return Optional.empty();
    }
    AdapterKey model = new AdapterKey(modelToLoad().name(), "");
    return Optional.of(sendCommand(new EngineCommand.Load(model, 0), nowMs));
  }

  private ModelSpec modelToLoad() {
    return queuedLoads.keySet().stream()
        .flatMap(key -> spec.model(key.model()).stream())
        .findFirst()
        .orElse(spec.models().getFirst());
  }

  private Optional<SlotAction> nextLoad(long nowMs) {
    if (loading.size() >= maxConcurrentLoads) {
      return Optional.empty();
    }
    return queuedLoads.entrySet().stream()
        .filter(entry -> resident.containsKey(entry.getKey().modelKey()))
        .filter(entry -> !loading.containsKey(entry.getKey()))
        .filter(entry -> unknownNameUntilMs.getOrDefault(entry.getKey(), 0L) <= nowMs)
        .sorted(Comparator.comparing(Map.Entry::getValue, byUrgency(nowMs)))
        .flatMap(entry -> loadOrEvict(entry.getKey(), entry.getValue(), nowMs).stream())
        .findFirst();
  }

  /**
   * Orders loads by their latest start, but puts those first that can still start in time. In an
   * overload, an order by arrival would make all requests late. This order makes only those late
   * that cannot be in time anyway; they are loaded when no other load is urgent.
   */
  private static Comparator<QueuedLoad> byUrgency(long nowMs) {
    return Comparator.comparing((QueuedLoad load) -> load.latestStartMs < nowMs)
        .thenComparingLong(load -> load.latestStartMs);
  }

  private Optional<SlotAction> loadOrEvict(AdapterKey key, QueuedLoad load, long nowMs) {
    if (resident.containsKey(key)) {
      // A replacement waits for the requests on the old version and blocks all other commands.
      boolean idle = isRetirementComplete(key, nowMs) && !usage.isInUse(key);
      return idle
          ? Optional.of(sendCommand(new EngineCommand.Load(key, load.version), nowMs))
          : Optional.empty();
    }
    if (usedSlots() < slotCount()) {
      return Optional.of(sendCommand(new EngineCommand.Load(key, load.version), nowMs));
    }
    return leastPopular(candidate -> isEvictable(candidate, nowMs))
        .map(victim -> sendCommand(new EngineCommand.Unload(victim), nowMs));
  }

  private boolean isEvictable(AdapterKey key, long nowMs) {
    return isRetirementComplete(key, nowMs) && !usage.isInUse(key) && !queuedLoads.containsKey(key);
  }

  /** Returns the least popular eligible adapter, or an outdated one if there is any. */
  private Optional<AdapterKey> leastPopular(Predicate<AdapterKey> eligible) {
    return resident.keySet().stream()
        .filter(key -> !key.isModel())
        .filter(eligible)
        .min(
            Comparator.comparing(this::isCurrent)
                .thenComparingDouble(usage::popularity)
                .thenComparing(AdapterKey::toString));
  }

  private boolean isCurrent(AdapterKey key) {
    return resident.get(key) >= usage.declaredVersion(key);
  }

  private SlotAction sendCommand(EngineCommand command, long nowMs) {
    outstandingIsLoadCheck = false;
    return setOutstanding(command, nowMs);
  }

  private SlotAction setOutstanding(EngineCommand command, long nowMs) {
    outstandingCommand = command;
    callDeadlineMs = nowMs + CALL_TIMEOUT_MS;
    lastCommandId++;
    return new SlotAction.SendCommand(command, sequence, lastCommandId);
  }

  private long usedSlots() {
    long loadedCount = resident.keySet().stream().filter(key -> !key.isModel()).count();
    long loadingCount = loading.keySet().stream().filter(key -> !key.isModel()).count();
    return loadedCount + loadingCount + unloading.size();
  }

  private long slotCount() {
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
