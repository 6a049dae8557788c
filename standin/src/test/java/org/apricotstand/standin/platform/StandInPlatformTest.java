package org.apricotstand.standin.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletionException;
import org.apricotstand.standin.HttpTestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against faults that differ from their definition: a write that takes effect although it
 * was refused, or that has no effect although only its answer is lost.
 */
final class StandInPlatformTest {

  private static final String INSERT =
      """
      {"conditions":[{"table":"t","key":"k","version":0}],
       "writes":[{"table":"t","key":"k","value":{"n":1}}]}
      """;

  private final HttpTestClient client = new HttpTestClient();
  private final StandInPlatform platform =
      StandInPlatform.start(
          client.group(), new PlatformSettings("127.0.0.1:0", 100, 10, 8, 1, 1_000));

  @AfterEach
  void close() {
    platform.close();
    client.close();
  }

  @Test
  void writeWithLostAnswerTakesEffect() {
    setFaults("{\"lost_answers\":1.0,\"seed\":3,\"scope\":[\"tables\"]}");
    assertThrows(CompletionException.class, this::insert);
    assertThat(client.get(platform.url() + "/tables/t/rows/k").status()).isEqualTo(200);
  }

  @Test
  void writesDuringOutageHaveNoEffect() {
    setFaults("{\"outage\":\"abort\"}");
    assertThrows(CompletionException.class, this::insert);
    setFaults("{\"outage\":\"refuse\"}");
    assertThat(insert()).isEqualTo(503);
    setFaults("{\"outage\":\"none\"}");
    assertThat(insert()).isEqualTo(200);
    assertThat(insert()).isEqualTo(409);
  }

  @Test
  void outageIsLimitedToItsScope() {
    setFaults("{\"outage\":\"refuse\",\"scope\":[\"objects\"]}");
    assertThat(insert()).isEqualTo(200);
    assertThat(client.get(platform.url() + "/objects/x").status()).isEqualTo(503);
  }

  @Test
  void countsReadsAndWrites() {
    insert();
    client.get(platform.url() + "/tables/t/rows/k");
    client.get(platform.url() + "/tables/t/rows/k");
    assertThat(platform.countersJson()).contains("\"tables_reads\":{\"total\":2");
    assertThat(platform.countersJson()).contains("\"tables_writes\":{\"total\":1");
  }

  private int insert() {
    return client.post(platform.url() + "/tables/commit", INSERT).join().status();
  }

  private void setFaults(String changes) {
    assertThat(client.post(platform.url() + "/faults", changes).join().status()).isEqualTo(200);
  }
}
