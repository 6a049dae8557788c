package org.apricotstand.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apricotstand.model.RequestClass;

/** Decides which requests for resident adapters enter the batch of the engine, and when. */
final class Dispatcher {

  /** Fraction of its spare time for which a request may be held back at stall weight 0. */
  private static final double MAX_HOLD_FRACTION = 0.5;

  private final WaitingQueue queue;
  private final SlotTable slots;
  private final Batch batch;
  private final Comparator<WaitingQueue.Entry> order;
  private final boolean holdsToFillBatch;
  private double stallWeight = 1;
  // Set after a request that runs alone; the requests that share a batch come next.
  private boolean sharedBatchNext;

  Dispatcher(
      WaitingQueue queue,
      SlotTable slots,
      Batch batch,
      Comparator<WaitingQueue.Entry> order,
      boolean holdsToFillBatch) {
    this.queue = queue;
    this.slots = slots;
    this.batch = batch;
    this.order = order;
    this.holdsToFillBatch = holdsToFillBatch;
  }

  void setStallWeight(double weight) {
    stallWeight = Math.clamp(weight, 0, 1);
  }

  /**
   * Returns the requests to dispatch now, most urgent first. Requests are held back until they fill
   * the batch or one of them can't be held any longer.
   *
   * @param serviceMs estimated time from the dispatch of a request to its end
   */
  List<WaitingQueue.Entry> select(long nowMs, long serviceMs) {
    if (batch.isExclusive() || batch.remainingCapacity() == 0) {
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
      return selectAlternating(ready, shared);
    }
    boolean filled = shared.size() >= batch.remainingCapacity();
    boolean due = shared.stream().anyMatch(entry -> holdUntilMs(entry, serviceMs) <= nowMs);
    return filled || due ? shared.stream().limit(batch.remainingCapacity()).toList() : List.of();
  }

  /**
   * Alternates between a request that runs alone and one batch of the other requests, so that
   * neither kind starves. A request that runs alone is dispatched only to an empty batch.
   */
  private List<WaitingQueue.Entry> selectAlternating(
      List<WaitingQueue.Entry> ready, List<WaitingQueue.Entry> shared) {
    if (sharedBatchNext && !shared.isEmpty()) {
      sharedBatchNext = false;
      return shared.stream().limit(batch.remainingCapacity()).toList();
    }
    if (batch.size() > 0) {
      return List.of();
    }
    sharedBatchNext = true;
    return ready.stream().filter(entry -> entry.request().alone()).min(order).stream().toList();
  }

  /**
   * Returns the monotonic time until which a request may be held back to fill the batch.
   * Interactive requests are not held back.
   */
  private long holdUntilMs(WaitingQueue.Entry entry, long serviceMs) {
    ScheduledRequest request = entry.request();
    if (!holdsToFillBatch || request.requestClass() == RequestClass.INTERACTIVE) {
      return request.arrivedMs();
    }
    double spareMs = Math.max(0, request.deadlineMs() - request.arrivedMs() - 2 * serviceMs);
    double fillWeight = 1 - stallWeight;
    return request.arrivedMs() + (long) (fillWeight * fillWeight * MAX_HOLD_FRACTION * spareMs);
  }
}
