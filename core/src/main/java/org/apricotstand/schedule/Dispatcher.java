package org.apricotstand.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apricotstand.model.RequestClass;

/** Chooses which requests of resident adapters enter the engine's batch, and when. */
final class Dispatcher {

  /** Share of a request's spare time for which it may be held back at stall weight 0. */
  private static final double HOLD_SHARE = 0.5;

  private final WaitingQueue queue;
  private final SlotTable slots;
  private final Batch batch;
  private final Comparator<WaitingQueue.Entry> order;
  private final boolean holdsBack;
  private double stallWeight = 1;
  private boolean othersBeforeAlone;

  Dispatcher(
      WaitingQueue queue,
      SlotTable slots,
      Batch batch,
      Comparator<WaitingQueue.Entry> order,
      boolean holdsBack) {
    this.queue = queue;
    this.slots = slots;
    this.batch = batch;
    this.order = order;
    this.holdsBack = holdsBack;
  }

  void setStallWeight(double weight) {
    stallWeight = Math.clamp(weight, 0, 1);
  }

  /** Returns the requests to dispatch now, most urgent first. */
  List<WaitingQueue.Entry> select(long nowMs, long serviceMs) {
    if (batch.isReserved() || batch.freePlaces() == 0) {
      return List.of();
    }
    List<WaitingQueue.Entry> ready = new ArrayList<>();
    for (Slot slot : slots.all()) {
      WaitingQueue.Group group = slot.isServing() ? queue.group(slot.adapterVersion()) : null;
      if (group != null) {
        ready.addAll(group.entries());
      }
    }
    List<WaitingQueue.Entry> shared =
        ready.stream().filter(entry -> !entry.request().alone()).sorted(order).toList();
    if (shared.size() < ready.size()) {
      return selectWithAlone(ready, shared);
    }
    boolean filled = shared.size() >= batch.freePlaces();
    boolean due = shared.stream().anyMatch(entry -> holdUntilMs(entry, serviceMs) <= nowMs);
    return filled || due ? shared.stream().limit(batch.freePlaces()).toList() : List.of();
  }

  /**
   * Alternates between a request that runs alone and one batch of the others, so that neither
   * starves. The batch drains before a request that runs alone.
   */
  private List<WaitingQueue.Entry> selectWithAlone(
      List<WaitingQueue.Entry> ready, List<WaitingQueue.Entry> shared) {
    if (othersBeforeAlone && !shared.isEmpty()) {
      othersBeforeAlone = false;
      return shared.stream().limit(batch.freePlaces()).toList();
    }
    if (batch.size() > 0) {
      return List.of();
    }
    othersBeforeAlone = true;
    return ready.stream().filter(entry -> entry.request().alone()).min(order).stream().toList();
  }

  private long holdUntilMs(WaitingQueue.Entry entry, long serviceMs) {
    ScheduledRequest request = entry.request();
    if (!holdsBack || request.requestClass() == RequestClass.INTERACTIVE) {
      return request.arrivedMs();
    }
    double spareMs = Math.max(0, request.deadlineMs() - request.arrivedMs() - 2 * serviceMs);
    double fillWeight = 1 - stallWeight;
    return request.arrivedMs() + (long) (fillWeight * fillWeight * HOLD_SHARE * spareMs);
  }
}
