package org.apricotstand.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;

/** Chooses which waiting group gets the next load and which adapter has to go for it. */
final class LoadPlanner {

  /** A group that waits this long while every slot is busy makes the least valuable one drain. */
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

  /** Returns whether some group could use a load at this time. */
  boolean isLoadWanted(long nowMs) {
    return queue.groups().stream().anyMatch(group -> isLoadable(group, nowMs));
  }

  /** Returns the adapter to load next. */
  Optional<WaitingQueue.Group> nextLoad(long nowMs) {
    WaitingQueue.Group best = null;
    double bestValue = 0;
    for (WaitingQueue.Group group : queue.groups()) {
      if (isLoadable(group, nowMs)) {
        double value = byValue ? valuation.ofGroup(group, nowMs) : -group.firstSequence();
        if (best == null || value > bestValue) {
          best = group;
          bestValue = value;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the slot to empty for a group, once it is idle. */
  Optional<Slot> nextEviction(WaitingQueue.Group wanting, long nowMs) {
    Optional<Slot> idle =
        slots.all().stream()
            .filter(this::isEvictable)
            .filter(slot -> !isAwaited(slot.adapterVersion()))
            .min(byRetention(nowMs));
    if (idle.isPresent()) {
      slots.stopDraining();
      return idle;
    }
    if (nowMs - wanting.oldestMs() < DRAIN_AFTER_MS) {
      return Optional.empty();
    }
    Optional<Slot> drained =
        slots.all().stream().filter(Slot::isDraining).filter(this::isEvictable).findFirst();
    if (drained.isEmpty() && slots.all().stream().noneMatch(Slot::isDraining)) {
      slots.all().stream()
          .filter(this::mayBeEvicted)
          .min(byRetention(nowMs))
          .ifPresent(slot -> slot.setDraining(true));
      drained = slots.all().stream().filter(Slot::isDraining).filter(this::isEvictable).findFirst();
    }
    return drained;
  }

  private boolean isLoadable(WaitingQueue.Group group, long nowMs) {
    AdapterVersion name = group.adapterVersion();
    return slots.get(name) == null && backoff.retryMs(name) <= nowMs;
  }

  /** Whether the slot may be emptied when no request runs on it. */
  private boolean mayBeEvicted(Slot slot) {
    return slot.isResident()
        && !slot.isInherited()
        && !pinnedAdapters.contains(slot.adapterVersion().adapter());
  }

  private boolean isEvictable(Slot slot) {
    return mayBeEvicted(slot) && !batch.isInUse(slot.adapterVersion());
  }

  private boolean isAwaited(AdapterVersion name) {
    return queue.group(name) != null;
  }

  private Comparator<Slot> byRetention(long nowMs) {
    return byValue
        ? Comparator.comparingDouble(
            (Slot slot) -> valuation.ofResident(slot.adapterVersion(), nowMs))
        : Comparator.comparingLong(Slot::usedMs);
  }
}
