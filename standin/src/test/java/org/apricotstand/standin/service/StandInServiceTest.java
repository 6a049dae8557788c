package org.apricotstand.standin.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletionException;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.standin.TestGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a service that miscounts runs around a crash. */
final class StandInServiceTest {

  private final TestGroup test = new TestGroup();
  private final StandInService service =
      StandInService.start(
          test.group(), InstanceSettings.parseAddress("127.0.0.1:0"), "/order/number");

  @AfterEach
  void close() {
    service.close();
    test.close();
  }

  @Test
  void crashBeforeTheRunDoesNotCount() {
    faults("{\"crash_before\":1}");
    assertThrows(CompletionException.class, this::order);
    assertThat(service.runs("A-1")).isEqualTo(0);
    assertThat(order()).isEqualTo(200);
    assertThat(service.runs("A-1")).isEqualTo(1);
  }

  @Test
  void crashAfterTheRunCounts() {
    faults("{\"crash_after\":1}");
    assertThrows(CompletionException.class, this::order);
    assertThat(service.runs("A-1")).isEqualTo(1);
    assertThat(order()).isEqualTo(200);
    assertThat(service.events().getLast().run()).isEqualTo(2);
  }

  private int order() {
    String body = "{\"order\":{\"number\":\"A-1\"}}";
    return test.post(TestGroup.url(service.address()) + "/orders", body).join().status();
  }

  private void faults(String change) {
    test.post(TestGroup.url(service.address()) + "/faults", change).join();
  }
}
