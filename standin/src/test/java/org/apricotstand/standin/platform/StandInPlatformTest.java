package org.apricotstand.standin.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CompletionException;
import org.apricotstand.standin.TestGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against faults that do not show the declared mixture of effect and answer. */
final class StandInPlatformTest {

  private static final String INSERT =
      """
      {"conditions":[{"table":"t","key":"k","version":0}],
       "writes":[{"table":"t","key":"k","value":{"n":1}}]}
      """;

  private final TestGroup test = new TestGroup();
  private final StandInPlatform platform =
      StandInPlatform.start(
          test.group(), new PlatformSettings("127.0.0.1:0", 100, 10, 8, 1, 1_000));

  @AfterEach
  void close() {
    platform.close();
    test.close();
  }

  @Test
  void lostAnswerFollowsAnEffect() {
    faults("{\"lost_answers\":1.0,\"seed\":3,\"scope\":[\"tables\"]}");
    assertThrows(CompletionException.class, this::insert);
    assertThat(test.get(platform.url() + "/tables/t/rows/k").status()).isEqualTo(200);
  }

  @Test
  void outageHasNoEffect() {
    faults("{\"outage\":\"abort\"}");
    assertThrows(CompletionException.class, this::insert);
    faults("{\"outage\":\"refuse\"}");
    assertThat(insert()).isEqualTo(503);
    faults("{\"outage\":\"none\"}");
    assertThat(insert()).isEqualTo(200);
    assertThat(insert()).isEqualTo(409);
  }

  @Test
  void outageIsLimitedToItsScope() {
    faults("{\"outage\":\"refuse\",\"scope\":[\"objects\"]}");
    assertThat(insert()).isEqualTo(200);
    assertThat(test.get(platform.url() + "/objects/x").status()).isEqualTo(503);
  }

  @Test
  void countsReadsAndWrites() {
    insert();
    test.get(platform.url() + "/tables/t/rows/k");
    test.get(platform.url() + "/tables/t/rows/k");
    assertThat(platform.counters()).contains("\"tables_reads\":{\"total\":2");
    assertThat(platform.counters()).contains("\"tables_writes\":{\"total\":1");
  }

  private int insert() {
    return test.post(platform.url() + "/tables/commit", INSERT).join().status();
  }

  private void faults(String change) {
    assertThat(test.post(platform.url() + "/faults", change).join().status()).isEqualTo(200);
  }
}
