package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.apricotstand.limit.MemoryBudget.Excess;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {

  private final MemoryBudget<String> budget = new MemoryBudget<>(1_000, 100);

  private MemoryBudget<String>.Account hold(
      String holder, String source, Kind kind, long bytes, long nowMs) {
    MemoryBudget<String>.Account account = budget.open(holder, source);
    account.update(kind, bytes, nowMs);
    return account;
  }

  private static Optional<Excess<String>> excess(String holder, Kind kind) {
    return Optional.of(new Excess<>(holder, kind));
  }

  // Guards against a bound that cuts off answers although there is room.
  @Test
  void nothingIsGivenUpWithinTheBound() {
    hold("a", "s", Kind.ANSWER, 60, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(Optional.empty());
    hold("b", "s", Kind.ANSWER, 40, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(Optional.empty());
    assertThat(budget.totalBytes()).isEqualTo(100);
  }

  // Guards against memory that fills with many answers of one target, each of which is small
  // enough.
  @Test
  void theLargestOfTheLargestSourceIsGivenUp() {
    hold("one", "sound", Kind.ANSWER, 45, 0);
    hold("a", "faulty", Kind.ANSWER, 20, 0);
    hold("b", "faulty", Kind.ANSWER, 30, 0);
    hold("c", "faulty", Kind.ANSWER, 10, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(excess("b", Kind.ANSWER));
  }

  // Guards against bytes that stay counted after their answer has ended, so that the bound closes.
  @Test
  void closedAccountsCountNoMore() {
    MemoryBudget<String>.Account account = hold("a", "s", Kind.ANSWER, 90, 0);
    account.close();
    account.close();
    assertThat(budget.totalBytes()).isEqualTo(0);
    hold("b", "s", Kind.ANSWER, 100, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(Optional.empty());
  }

  // Guards against counting an answer once for each of its parts.
  @Test
  void aLaterNumberReplacesTheOneBefore() {
    MemoryBudget<String>.Account account = hold("a", "s", Kind.ANSWER, 50, 0);
    account.update(Kind.ANSWER, 70, 0);
    assertThat(budget.totalBytes()).isEqualTo(70);
    account.update(Kind.ANSWER, 0, 0);
    assertThat(budget.totalBytes()).isEqualTo(0);
  }

  // Guards against one purpose that counts as room for another, so that the sum passes the budget.
  @Test
  void allKindsCountTogether() {
    MemoryBudget<String>.Account account = hold("a", "", Kind.HEAD, 500, 0);
    account.update(Kind.OUTPUT, 300, 0);
    hold("b", "", Kind.RUNNING, 200, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(Optional.empty());
    hold("c", "", Kind.QUEUED, 1, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(excess("a", Kind.HEAD));
    assertThat(budget.bytes(Kind.HEAD)).isEqualTo(0);
    assertThat(budget.bytes(Kind.OUTPUT)).isEqualTo(300);
    assertThat(budget.takeExcess(0)).isEqualTo(Optional.empty());
  }

  // Guards against callers that are cut off in the middle of a large body because others stopped
  // short of the end of theirs and stay.
  @Test
  void aStalledRequestGoesBeforeALargerOneThatArrives() {
    hold("stalled", "", Kind.BODY, 400, 0);
    MemoryBudget<String>.Account arriving = hold("arriving", "", Kind.BODY, 100, 0);
    arriving.update(Kind.BODY, 700, 9_000);
    assertThat(budget.takeExcess(9_000)).isEqualTo(excess("stalled", Kind.BODY));
  }

  // Guards against a sender that keeps its memory for long by a few bytes now and then, while
  // uploads
  // that have just begun are refused in its place, at any time between two of its steps.
  @Test
  void aSlowTrickleGoesBeforeAFreshUpload() {
    for (long sinceStepMs = 0; sinceStepMs < 3_000; sinceStepMs += 100) {
      MemoryBudget<String> crowded = new MemoryBudget<>(200_000, 100);
      MemoryBudget<String>.Account trickle = crowded.open("trickle", "");
      for (int step = 1; step <= 20; step++) {
        trickle.update(Kind.BODY, step * 8_000L, step * 3_000L);
      }
      long nowMs = 60_000 + sinceStepMs;
      crowded.open("fresh", "").update(Kind.BODY, 64_000, nowMs);
      assertThat(crowded.takeExcess(nowMs)).isEqualTo(excess("trickle", Kind.BODY));
    }
  }

  // Guards against a large upload that is refused while it arrives, in place of a smaller one that
  // has stopped.
  @Test
  void aStalledRequestGoesBeforeOneOfTenTimesItsSizeThatArrives() {
    hold("stalled", "", Kind.BODY, 90, 0);
    MemoryBudget<String>.Account arriving = hold("arriving", "", Kind.BODY, 100, 0);
    arriving.update(Kind.BODY, 920, 9_000);
    assertThat(budget.takeExcess(9_000)).isEqualTo(excess("stalled", Kind.BODY));
  }

  // Guards against many small requests that are refused for one large one, all of the same age.
  @Test
  void theLargestOfTheSameAgeIsGivenUp() {
    hold("small", "", Kind.HEAD, 100, 0);
    MemoryBudget<String>.Account large = hold("large", "", Kind.HEAD, 100, 0);
    large.update(Kind.BODY, 600, 0);
    hold("medium", "", Kind.BODY, 300, 0);
    assertThat(budget.takeExcess(5_000)).isEqualTo(excess("large", Kind.BODY));
    assertThat(budget.totalBytes()).isEqualTo(400);
  }

  // Guards against an answer that is broken off while a request that may never end stays.
  @Test
  void requestsWithoutEndGoBeforeQueuedOnesAndThoseBeforeAnswersAndOutput() {
    hold("output", "", Kind.OUTPUT, 700, 0);
    hold("answer", "s", Kind.ANSWER, 90, 0);
    hold("queued", "", Kind.QUEUED, 60, 0);
    hold("begun", "", Kind.HEAD, 50, 0);
    hold("running", "", Kind.RUNNING, 950, 0);
    assertThat(budget.takeExcess(1_000)).isEqualTo(excess("begun", Kind.HEAD));
    assertThat(budget.takeExcess(1_000)).isEqualTo(excess("queued", Kind.QUEUED));
    assertThat(budget.takeExcess(1_000)).isEqualTo(excess("answer", Kind.ANSWER));
    assertThat(budget.takeExcess(1_000)).isEqualTo(excess("output", Kind.OUTPUT));
    assertThat(budget.takeExcess(1_000)).isEqualTo(Optional.empty());
  }

  // Guards against a reader that is cut off although it reads, while another has stopped.
  @Test
  void outputWhoseReaderHasStoppedGoesBeforeOutputThatIsRead() {
    MemoryBudget<String>.Account read = hold("read", "", Kind.OUTPUT, 900, 0);
    MemoryBudget<String>.Account stopped = hold("stopped", "", Kind.OUTPUT, 400, 0);
    read.update(Kind.OUTPUT, 650, 5_000);
    stopped.update(Kind.OUTPUT, 450, 5_000);
    assertThat(budget.takeExcess(5_000)).isEqualTo(excess("stopped", Kind.OUTPUT));
  }

  // Guards against a target that answers nothing to large requests, so that those that wait for it
  // fill the budget and every other request is refused.
  @Test
  void largeRequestsLeaveRoomForSmallOnes() {
    assertThat(budget.canRun(750)).isTrue();
    assertThat(budget.canRun(751)).isFalse();
    hold("large", "", Kind.RUNNING, 740, 0);
    assertThat(budget.canRun(20)).isFalse();
    assertThat(budget.canRun(15)).isTrue();
  }

  // Guards against small requests at a target that answers nothing, which fill the budget so that
  // every answer and all output exceed it and are given up.
  @Test
  void smallRequestsLeaveRoomForAnswersAndOutput() {
    hold("running", "", Kind.RUNNING, 865, 0);
    assertThat(budget.canRun(10)).isTrue();
    assertThat(budget.canRun(11)).isFalse();
    hold("answer", "s", Kind.ANSWER, 60, 0);
    hold("output", "", Kind.OUTPUT, 65, 0);
    assertThat(budget.takeExcess(0)).isEqualTo(Optional.empty());
  }

  // Guards against requests that run in the memory that answers and output hold already.
  @Test
  void requestsLeaveRoomBesideAnswersAndOutputThatAreHeld() {
    hold("answer", "s", Kind.ANSWER, 100, 0);
    hold("output", "", Kind.OUTPUT, 100, 0);
    hold("running", "", Kind.RUNNING, 665, 0);
    assertThat(budget.canRun(10)).isTrue();
    assertThat(budget.canRun(11)).isFalse();
  }

  // Guards against callers that read nothing, so that their output stops all requests.
  @Test
  void requestsRunBesideOutputThatFillsTheBudget() {
    hold("output", "", Kind.OUTPUT, 990, 0);
    hold("running", "", Kind.RUNNING, 490, 0);
    assertThat(budget.canRun(10)).isTrue();
    assertThat(budget.canRun(11)).isFalse();
  }

  // Guards against a limit that refuses requests of usual size in calm: 1,500 of 8 KB fit into the
  // budget of a small instance.
  @Test
  void manySmallRequestsRunAtOnce() {
    MemoryBudget<String> small = new MemoryBudget<>(16_777_216, 4_194_304);
    small.open("running", "").update(Kind.RUNNING, 1_499 * 8_192L, 0);
    assertThat(small.canRun(8_192)).isTrue();
  }

  // Guards against refusing a request that is arriving instead of an equal one that has stalled,
  // because the stalled one came in two reads.
  @Test
  void aStalledHeadIsGivenUpBeforeAnEqualOneThatHasJustArrived() {
    MemoryBudget<String> heads = new MemoryBudget<>(100_000, 50_000);
    MemoryBudget<String>.Account stalled = heads.open("stalled", "");
    MemoryBudget<String>.Account arriving = heads.open("arriving", "");
    stalled.update(Kind.HEAD, 30_000, 1_000);
    stalled.update(Kind.HEAD, 60_000, 1_001);
    arriving.update(Kind.HEAD, 60_000, 1_003);
    assertThat(heads.takeExcess(1_003).orElseThrow().holder()).isEqualTo("stalled");
  }
}
