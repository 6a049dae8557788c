package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.apricotstand.overlay.Overlay;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.quota.TenantUse;
import org.junit.jupiter.api.Test;

class MemberReportsTest {

  private static final long WINDOW_MS = 8_000;

  private final MemberReports reports = new MemberReports(WINDOW_MS);

  private boolean put(long sequence, long used, long nowMs) {
    return reports.put(
        "n1",
        new PeerMessage.MemberReport(
            sequence,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("a", new TenantUse(10, used)),
            0,
            Map.of()),
        nowMs);
  }

  private long used() {
    return reports.tenants().getOrDefault("a", new TenantUse(0, 0)).used();
  }

  // Guards against the use of a killed member that is divided again while it is in the window.
  @Test
  void theUseOfASilentMemberCountsForAWindow() {
    put(1, 100, 0);
    long silentMs = Overlay.SILENCE_TIMEOUT_MS;
    assertThat(reports.removeSilent(silentMs)).containsExactly("n1");
    assertThat(reports.tenants()).containsExactly("a", new TenantUse(0, 100));
    reports.removeSilent(silentMs + WINDOW_MS);
    assertThat(used()).isEqualTo(0);
  }

  // Guards against use that counts twice after a member was silent or has another relay.
  @Test
  void theUseOfAMemberThatIsHeardAgainCountsOnce() {
    put(1, 100, 0);
    reports.removeSilent(Overlay.SILENCE_TIMEOUT_MS);
    assertThat(put(2, 120, 2_000)).isFalse();
    assertThat(used()).isEqualTo(120);
    reports.removeSilent(2_000 + Overlay.SILENCE_TIMEOUT_MS);
    reports.removeMoved(List.of("n1"));
    assertThat(used()).isEqualTo(0);
  }

  // Guards against a member that restarts and thereby takes back what it has used.
  @Test
  void theUseOfAReplacedProcessCountsForAWindow() {
    put(7, 100, 0);
    assertThat(put(1, 5, 700)).isTrue();
    assertThat(used()).isEqualTo(105);
    reports.removeMoved(List.of("n1"));
    put(2, 6, 1_200);
    assertThat(used()).isEqualTo(106);
    reports.removeSilent(700 + WINDOW_MS);
    assertThat(used()).isEqualTo(6);
  }
}
