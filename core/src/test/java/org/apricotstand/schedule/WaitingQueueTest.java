package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.junit.jupiter.api.Test;

class WaitingQueueTest {

  private final WaitingQueue queue = new WaitingQueue(WaitingQueue.BY_URGENCY);

  /** Guards against an urgent request that waits behind less urgent ones of its group. */
  @Test
  void ordersAGroupByClassAndDeadline() {
    add("late", "c", RequestClass.STANDARD, 900);
    add("soon", "c", RequestClass.STANDARD, 500);
    add("urgent", "c", RequestClass.INTERACTIVE, 2_000);
    assertThat(
            queue.group(new AdapterVersion("a", "v1")).entries().stream()
                .map(entry -> entry.request().id().value()))
        .containsExactly("urgent", "soon", "late")
        .inOrder();
  }

  /** Guards against dropping a request of a higher class or of a caller with few requests. */
  @Test
  void dropsTheNewestOfTheLargestCallerInTheLowestClass() {
    add("r1", "large", RequestClass.BACKGROUND, 900);
    add("r2", "large", RequestClass.BACKGROUND, 900);
    add("r3", "large", RequestClass.INTERACTIVE, 900);
    add("r4", "small", RequestClass.BACKGROUND, 900);
    assertThat(queue.overflowVictim().request().id()).isEqualTo(new RequestId("r2"));
  }

  /** Guards against a requeued request that goes to the end of the queue. */
  @Test
  void requeuesAtTheFormerPosition() {
    add("r1", "c", RequestClass.STANDARD, 900);
    add("r2", "c", RequestClass.STANDARD, 900);
    queue.requeue(queue.remove(new RequestId("r1")));
    WaitingQueue.Entry first =
        queue.group(new AdapterVersion("a", "v1")).entries().iterator().next();
    assertThat(first.request().id()).isEqualTo(new RequestId("r1"));
    assertThat(first.requeues()).isEqualTo(1);
    assertThat(queue.size()).isEqualTo(2);
  }

  /** Guards against empty groups that are never removed. */
  @Test
  void removesAnEmptyGroup() {
    add("r1", "c", RequestClass.STANDARD, 900);
    queue.remove(new RequestId("r1"));
    assertThat(queue.groups()).isEmpty();
    assertThat(queue.remove(new RequestId("r1"))).isNull();
  }

  private void add(String id, String caller, RequestClass requestClass, long deadlineMs) {
    queue.add(
        new ScheduledRequest(
            new RequestId(id),
            1,
            new AdapterVersion("a", "v1"),
            requestClass,
            caller,
            0,
            deadlineMs));
  }
}
