package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.TargetId;
import org.junit.jupiter.api.Test;

class TargetSchedulerTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");
  private static final AdapterVersion B = new AdapterVersion("b", "v1");

  private final TargetScheduler scheduler = new TargetScheduler(new TargetId("engine-1"));

  /** Guards against evicting an adapter that a running request uses. */
  @Test
  void doesNotUnloadAnAdapterInUse() {
    scheduler.handle(new SchedulerEvent.EngineReported(1, Set.of(A), 1, 4), 0);
    ScheduledRequest first = request("r1", A);
    assertThat(scheduler.handle(new SchedulerEvent.Submitted(first), 1))
        .containsExactly(new SchedulerAction.Dispatch(first));
    assertThat(scheduler.handle(new SchedulerEvent.Submitted(request("r2", B)), 2)).isEmpty();
    List<SchedulerAction> afterFinish =
        scheduler.handle(new SchedulerEvent.Finished(first.id()), 3);
    assertThat(afterFinish).containsExactly(new SchedulerAction.Unload(A));
  }

  private static ScheduledRequest request(String id, AdapterVersion adapterVersion) {
    return new ScheduledRequest(
        new RequestId(id), 1, adapterVersion, RequestClass.STANDARD, "test", 0, 10_000);
  }
}
