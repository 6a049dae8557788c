package org.apricotstand.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;

/** Decides which waiting group gets the next load and which adapter is evicted for it. */
final class LoadPlanner {

  /**
   * Time that a group waits while all slots are in use before the least valuable one is drained.
   */
  private static final long DRAIN_AFTER_MS = 1_000;

  private final WaitingQueue queue;
  private final SlotTable slots;
  private final Batch batch;
  private final LoadBackoff backoff;
  private final Valuation valuation;
  private final boolean byValue;
  private Set<String> pinnedAdapters = Set.of();

  LoadPlanner(
      WaitingQueue queue,
      SlotTable slots,
      Batch batch,
      LoadBackoff backoff,
      Valuation valuation,
      boolean byValue) {
    this.queue = queue;
    this.slots = slots;
    this.batch = batch;
    this.backoff = backoff;
    this.valuation = valuation;
    this.byValue = byValue;
  }

  void setPinned(Set<String> adapters) {
    pinnedAdapters = Set.copyOf(adapters);
  }

  /** Returns whether a load could start now for at least one group. */
  boolean hasLoadableGroup(long nowMs) {
    return queue.groups().stream().anyMatch(group -> isLoadable(group, nowMs));
  }

  /** Returns the group whose adapter is loaded next. */
  Optional<WaitingQueue.Group> nextLoad(long nowMs) {
    WaitingQueue.Group best = null;
    double bestValue = 0;
    for (WaitingQueue.Group group : queue.groups()) {
      if (isLoadable(group, nowMs)) {
        double value = byValue ? valuation.groupValue(group, nowMs) : -group.firstSequence();
        if (best == null || value > bestValue) {
          best = group;
          bestValue = value;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the slot to unload for a group. If all slots are in use and the group has waited long
   * enough, one slot is drained and is returned once it is idle.
   */
  Optional<Slot> nextEviction(WaitingQueue.Group waitingGroup, long nowMs) {
    Optional<Slot> idle =
        slots.all().stream()
            .filter(this::isEvictableNow)
            .filter(slot -> !hasWaitingRequests(slot.adapterVersion()))
            .min(byRetentionValue(nowMs));
    if (idle.isPresent()) {
      slots.stopDraining();
      return idle;
    }
    if (nowMs - waitingGroup.earliestArrivalMs() < DRAIN_AFTER_MS) {
      return Optional.empty();
    }
    Optional<Slot> drained =
        slots.all().stream().filter(Slot::isDraining).filter(this::isEvictableNow).findFirst();
    if (drained.isEmpty() && slots.all().stream().noneMatch(Slot::isDraining)) {
      slots.all().stream()
          .filter(this::isEvictableWhenIdle)
          .min(byRetentionValue(nowMs))
          .ifPresent(slot -> slot.setDraining(true));
      drained =
          slots.all().stream().filter(Slot::isDraining).filter(this::isEvictableNow).findFirst();
    }
    return drained;
  }

  private boolean isLoadable(WaitingQueue.Group group, long nowMs) {
    AdapterVersion adapterVersion = group.adapterVersion();
    return slots.get(adapterVersion) == null && backoff.retryAtMs(adapterVersion) <= nowMs;
  }

  /** Returns whether the slot may be unloaded as soon as no request runs on it. */
  private boolean isEvictableWhenIdle(Slot slot) {
    return slot.isResident()
        && !slot.isQuarantined()
        && !pinnedAdapters.contains(slot.adapterVersion().adapter());
  }

  private boolean isEvictableNow(Slot slot) {
    return isEvictableWhenIdle(slot) && !batch.isInUse(slot.adapterVersion());
  }

  private boolean hasWaitingRequests(AdapterVersion adapterVersion) {
    return queue.group(adapterVersion) != null;
  }

  private Comparator<Slot> byRetentionValue(long nowMs) {
    return byValue
        ? Comparator.comparingDouble(
            (Slot slot) -> valuation.residentValue(slot.adapterVersion(), nowMs))
        : Comparator.comparingLong(Slot::lastUsedMs);
  }
}
