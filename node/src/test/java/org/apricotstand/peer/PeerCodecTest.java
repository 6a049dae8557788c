package org.apricotstand.peer;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.quota.TenantUse;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class PeerCodecTest {

  private static final ObjectMapper PLAIN = new ObjectMapper(new MessagePackFactory());

  private static PeerMessage.MemberReport report(Map<String, TenantUse> tenants) {
    return report(tenants, Map.of());
  }

  private static PeerMessage.MemberReport report(
      Map<String, TenantUse> tenants, Map<String, AnswerTimes> times) {
    return new PeerMessage.MemberReport(
        7, Map.of(), Map.of(), Map.of(), Map.of("m/a", 1), tenants, 0, times);
  }

  private static PeerMessage.StateUpdate update(Map<String, TenantUse> tenants, long scope) {
    return update(tenants, scope, Map.of());
  }

  private static PeerMessage.StateUpdate update(
      Map<String, TenantUse> tenants, long scope, Map<String, AnswerTimes> times) {
    FleetState load =
        new FleetState.RelayedLoad("r", Map.of(), Map.of(), Map.of(), tenants, scope, times);
    return new PeerMessage.StateUpdate(true, List.of(new StateEntry("load/r", 1, 2, "d", load)));
  }

  // Guards against messages that lose what tenants use, or swap its parts.
  @Test
  void theUseOfTenantsIsCarried() throws IOException {
    Map<String, TenantUse> tenants = Map.of("hule930", new TenantUse(3_667, 29_337));
    for (PeerMessage message : List.of(report(tenants), update(tenants, -5))) {
      assertThat(PeerCodec.fromBytes(PeerCodec.toBytes(message))).isEqualTo(message);
    }
  }

  // Guards against loans that lose the request or the amount that they belong to.
  @Test
  void loansAreCarried() throws IOException {
    for (PeerMessage message :
        List.of(
            new PeerMessage.QuotaWanted(5, "hule930", 4_400),
            new PeerMessage.QuotaLent(5, "hule930", 0),
            new PeerMessage.MemberReport(
                7, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), 5, Map.of()))) {
      assertThat(PeerCodec.fromBytes(PeerCodec.toBytes(message))).isEqualTo(message);
    }
  }

  // Guards against messages that lose the times of answers, or swap number and time.
  @Test
  void theTimesOfAnswersAreCarried() throws IOException {
    Map<String, AnswerTimes> times = Map.of("t1", new AnswerTimes(3, 917));
    for (PeerMessage message : List.of(report(Map.of(), times), update(Map.of(), 0, times))) {
      assertThat(PeerCodec.fromBytes(PeerCodec.toBytes(message))).isEqualTo(message);
    }
  }

  // Guards against messages that instances of earlier versions cannot read, or that grow, although
  // no tenant has a limit.
  @Test
  void withoutLimitsNothingIsAddedToMessages() throws IOException {
    ObjectNode encoded = (ObjectNode) PLAIN.readTree(PeerCodec.toBytes(report(Map.of())));
    assertThat(ImmutableList.copyOf(encoded.fieldNames()))
        .containsExactly("t", "sequence", "started", "waiting", "inUse", "arrivals");
    ObjectNode load =
        (ObjectNode)
            PLAIN
                .readTree(PeerCodec.toBytes(update(Map.of(), 0)))
                .path("entries")
                .get(0)
                .get("state");
    assertThat(ImmutableList.copyOf(load.fieldNames()))
        .containsExactly("t", "relay", "started", "waiting", "arrivals");
    assertThat(PeerCodec.fromBytes(PeerCodec.toBytes(report(Map.of()))))
        .isEqualTo(report(Map.of()));
    assertThat(PeerCodec.fromBytes(PeerCodec.toBytes(update(Map.of(), 0))))
        .isEqualTo(update(Map.of(), 0));
  }

  // Guards against a cost of the exchange for each tenant that grows unnoticed.
  @Test
  void oneTenantAddsFewBytes() throws IOException {
    Map<String, TenantUse> tenants = new TreeMap<>();
    tenants.put("hule930", new TenantUse(3_667, 29_337));
    int one = PeerCodec.toBytes(report(tenants)).length;
    tenants.put("hule931", new TenantUse(231_020, 2_079_180));
    assertThat(PeerCodec.toBytes(report(tenants)).length - one).isAtMost(19);
  }

  // Guards against a cost of the exchange for each target that grows unnoticed.
  @Test
  void theTimesOfOneTargetAddFewBytes() throws IOException {
    Map<String, AnswerTimes> times = new TreeMap<>();
    times.put("t-01", new AnswerTimes(2, 61));
    int one = PeerCodec.toBytes(report(Map.of(), times)).length;
    times.put("t-02", new AnswerTimes(12, 3_517));
    assertThat(PeerCodec.toBytes(report(Map.of(), times)).length - one).isAtMost(10);
    times.put("t-03", new AnswerTimes(900, 201_000));
    assertThat(PeerCodec.toBytes(report(Map.of(), times)).length - one).isAtMost(24);
  }
}
