package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

class StartingRetryBudgetTest extends RequestRouterFixture {

  private static final double ALLOWANCE = 50;

  private static final ScriptedTarget.Script FAILS =
      always("HTTP/1.1 500 No\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", true);

  StartingRetryBudgetTest() {
    retryRatio = 0.2;
  }

  // Guards against new processes that each use the allowance of the fleet.
  @Test
  void aNewProcessLeavesMostOfTheAllowanceToTheOthers() throws IOException {
    TargetEntry[] entries = {target("t1", FAILS), target("t2", FAILS)};
    serve(RequestKind.IDEMPOTENT, 2, false, entries);
    router.onViewChanged();
    int requests = 60;
    for (int i = 0; i < requests; i++) {
      assertThat(call("")).startsWith("HTTP/1.1 500 ");
    }
    int retries = countHeads() - requests;
    assertThat(retries).isAtLeast(1);
    assertThat((double) retries).isAtMost(retryRatio * requests + ALLOWANCE / 2);
  }
}
