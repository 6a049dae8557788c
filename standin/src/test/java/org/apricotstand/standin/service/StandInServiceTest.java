package org.apricotstand.standin.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletionException;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.standin.HttpTestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a wrong count of runs when the service crashes before or after a run. */
final class StandInServiceTest {

  private final HttpTestClient client = new HttpTestClient();
  private final StandInService service =
      StandInService.start(
          client.group(), InstanceSettings.parseAddress("127.0.0.1:0"), "/order/number");

  @AfterEach
  void close() {
    service.close();
    client.close();
  }

  @Test
  void crashBeforeTheRunIsNotCounted() {
    setFaults("{\"crash_before\":1}");
    assertThrows(CompletionException.class, this::sendOrder);
    assertThat(service.runCount("A-1")).isEqualTo(0);
    assertThat(sendOrder()).isEqualTo(200);
    assertThat(service.runCount("A-1")).isEqualTo(1);
  }

  @Test
  void crashAfterTheRunIsCounted() {
    setFaults("{\"crash_after\":1}");
    assertThrows(CompletionException.class, this::sendOrder);
    assertThat(service.runCount("A-1")).isEqualTo(1);
    assertThat(sendOrder()).isEqualTo(200);
    assertThat(service.events().getLast().run()).isEqualTo(2);
  }

  private int sendOrder() {
    String body = "{\"order\":{\"number\":\"A-1\"}}";
    return client.post(HttpTestClient.url(service.address()) + "/orders", body).join().status();
  }

  private void setFaults(String changes) {
    client.post(HttpTestClient.url(service.address()) + "/faults", changes).join();
  }
}
