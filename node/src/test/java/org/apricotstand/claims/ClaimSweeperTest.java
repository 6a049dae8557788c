package org.apricotstand.claims;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.Random;
import org.apricotstand.claim.ClaimRetention;
import org.apricotstand.claim.ClaimRow;
import org.apricotstand.control.ControlThread;
import org.apricotstand.observe.Metrics;
import org.apricotstand.platform.TableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ClaimSweeperTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BUCKET = 1;
  private static final String PREFIX = ClaimRetention.keyPrefix(BUCKET);

  private final ControlThread control = new ControlThread();
  private final FakeTables tables = new FakeTables();
  private final Metrics metrics = new Metrics();
  private final ClaimSweeper sweeper =
      new ClaimSweeper(control, new ClaimTable(tables), metrics, new Random(1));

  @AfterEach
  void stop() {
    control.stop();
  }

  private static TableService.Row row(String key, JsonNode value) {
    return new TableService.Row("claims", key, 1, value);
  }

  private static JsonNode expiredClaim() {
    long claimedAtEpochMs = System.currentTimeMillis() - 2 * ClaimRetention.RETENTION_MS;
    return JSON.valueToTree(
        new ClaimRow(ClaimRow.State.UNKNOWN, "entry-1", 1, "n1", "f", claimedAtEpochMs, null));
  }

  private long removedCount() {
    return metrics.counter("claims.removed").getCount();
  }

  // Guards against a part of the table that is never swept again because of one row in it.
  @Test
  void removesExpiredRowsBesideAnUnreadableOne() {
    tables.rows.add(row(PREFIX + "a", TextNode.valueOf("no claim")));
    tables.rows.add(row(PREFIX + "b", expiredClaim()));
    sweeper.sweep(BUCKET).join();
    assertThat(tables.transactions).hasSize(1);
    assertThat(tables.transactions.getFirst().writes())
        .containsExactly(new TableService.Write("claims", PREFIX + "b", JSON.nullNode()));
    assertThat(removedCount()).isEqualTo(1);
  }

  // Guards against counting rows as removed that are still there.
  @Test
  void countsNoRemovalWhoseOutcomeIsUnknown() {
    tables.rows.add(row(PREFIX + "b", expiredClaim()));
    tables.losesAnswers = true;
    sweeper.sweep(BUCKET).join();
    assertThat(tables.transactions).hasSize(1);
    assertThat(removedCount()).isEqualTo(0);
  }
}
