package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

class UseWindowTest {

  private static final long WINDOW_MS = 8_000;

  private record Use(long atMs, double amount) {}

  // Guards against use that is forgotten while it is in the window, or counts long after it.
  @Test
  void countsAllUseOfTheWindowAndLittleMore() {
    Random random = new Random(8);
    UseWindow window = new UseWindow(WINDOW_MS, 0);
    Deque<Use> uses = new ArrayDeque<>();
    long nowMs = 0;
    for (int i = 0; i < 20_000; i++) {
      nowMs += random.nextInt(40) == 0 ? random.nextInt(20_000) : random.nextInt(100);
      Use use = new Use(nowMs, random.nextInt(1_000));
      uses.addLast(use);
      window.add(use.amount, nowMs);
      long currentMs = nowMs;
      uses.removeIf(old -> old.atMs <= currentMs - WINDOW_MS - WINDOW_MS / 32);
      double inWindow =
          uses.stream()
              .filter(old -> old.atMs > currentMs - WINDOW_MS)
              .mapToDouble(Use::amount)
              .sum();
      double inLongerWindow = uses.stream().mapToDouble(Use::amount).sum();
      assertWithMessage("sum at %s", nowMs).that(window.sum(nowMs)).isAtLeast(inWindow - 1e-6);
      assertWithMessage("sum at %s", nowMs).that(window.sum(nowMs)).isAtMost(inLongerWindow + 1e-6);
    }
  }

  // Guards against cost that is given back and later leaves the window a second time.
  @Test
  void whatIsTakenBackCountsNoMore() {
    UseWindow window = new UseWindow(WINDOW_MS, 0);
    window.add(10, 0);
    window.add(3, 4_000);
    window.takeBack(10, 0, 5_000);
    assertThat(window.sum(5_000)).isEqualTo(3);
    assertThat(window.sum(9_000)).isEqualTo(3);
    window.takeBack(10, 0, 11_000);
    assertThat(window.sum(11_000)).isEqualTo(3);
    assertThat(window.sum(20_000)).isEqualTo(0);
  }
}
