package org.apricotstand.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotstand.http.HttpReply;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.junit.jupiter.api.Test;

class CallQueueTest {

  private static final Result<HttpReply> ANSWERED = Result.ok(new HttpReply(200, null, null));
  private static final Result<HttpReply> LOST =
      Result.failed(new Failure(Step.PLATFORM, "p", TableService.OUTCOME_UNKNOWN, "lost"));

  private final AtomicLong clock = new AtomicLong(1_000);
  private final CallQueue queue = new CallQueue("p", clock::get, new SplittableRandom(1));
  private final List<String> sent = new ArrayList<>();
  private final List<CompletableFuture<Result<HttpReply>>> answers = new ArrayList<>();

  private CompletableFuture<Result<HttpReply>> submit(CallPriority priority, String name) {
    return submit(priority, 10_000, name);
  }

  private CompletableFuture<Result<HttpReply>> submit(
      CallPriority priority, long deadlineMs, String name) {
    return queue.submit(
        priority,
        deadlineMs,
        () -> {
          sent.add(name);
          CompletableFuture<Result<HttpReply>> answer = new CompletableFuture<>();
          answers.add(answer);
          return answer;
        });
  }

  /** Guards against lease renewals that wait for, or are dropped instead of, status calls. */
  @Test
  void sendsLeaseCallsFirstAndDropsTheLowestPriorityWhenFull() {
    for (int i = 0; i < 32; i++) {
      submit(CallPriority.STATUS, "first");
    }
    List<CompletableFuture<Result<HttpReply>>> waiting = new ArrayList<>();
    for (int i = 0; i < 512; i++) {
      waiting.add(submit(CallPriority.STATUS, "status"));
    }
    CompletableFuture<Result<HttpReply>> lease = submit(CallPriority.LEASE, "lease");
    assertThat(failureCode(waiting.getFirst())).isEqualTo(TableService.UNREACHABLE);
    assertThat(queue.waitingCalls()).isEqualTo(512);
    answers.getFirst().complete(ANSWERED);
    assertThat(sent.getLast()).isEqualTo("lease");
    assertThat(lease.isDone()).isFalse();
  }

  /** Guards against sending every call to a platform that does not answer. */
  @Test
  void sendsOneProbeWhileThePlatformDoesNotAnswer() {
    for (int i = 0; i < 5; i++) {
      submit(CallPriority.STATUS, "call");
      answers.getLast().complete(LOST);
    }
    assertThat(queue.isCircuitOpen()).isTrue();
    CompletableFuture<Result<HttpReply>> status = submit(CallPriority.STATUS, "status");
    assertThat(sent).hasSize(5);
    clock.addAndGet(1_000);
    submit(CallPriority.LEASE, "lease");
    assertThat(sent).hasSize(6);
    assertThat(sent.getLast()).isEqualTo("lease");
    answers.getLast().complete(ANSWERED);
    assertThat(queue.isCircuitOpen()).isFalse();
    assertThat(sent.getLast()).isEqualTo("status");
    answers.getLast().complete(ANSWERED);
    assertThat(status.join()).isEqualTo(ANSWERED);
  }

  /**
   * Guards against a first call after an outage that fails although the platform is back, because
   * the pause before the next probe is longer than the call may wait.
   */
  @Test
  void aCallThatCannotWaitForThePauseIsTheProbe() {
    for (int i = 0; i < 20; i++) {
      submit(CallPriority.STATUS, clock.get() + 60_000, "earlier");
      answers.getLast().complete(LOST);
      clock.addAndGet(10_000);
    }
    submit(CallPriority.STATUS, clock.get() + 60_000, "earlier");
    answers.getLast().complete(LOST);
    int sentBefore = sent.size();
    CompletableFuture<Result<HttpReply>> urgent =
        submit(CallPriority.STATUS, clock.get() + 2_000, "urgent");
    clock.addAndGet(1_000);
    submit(CallPriority.STATUS, clock.get() + 60_000, "later");
    assertThat(sent.subList(sentBefore, sent.size())).containsExactly("urgent");
    answers.getLast().complete(ANSWERED);
    assertThat(urgent.join()).isEqualTo(ANSWERED);
  }

  /** Guards against calls that are sent after their deadline. */
  @Test
  void failsOverdueCallAsNotSent() {
    for (int i = 0; i < 32; i++) {
      submit(CallPriority.STATUS, "first");
    }
    CompletableFuture<Result<HttpReply>> late = submit(CallPriority.CLAIM, "late");
    clock.set(10_000);
    answers.getFirst().complete(ANSWERED);
    assertThat(failureCode(late)).isEqualTo(TableService.UNREACHABLE);
    assertThat(sent).doesNotContain("late");
  }

  private static String failureCode(CompletableFuture<Result<HttpReply>> future) {
    return ((Result.Failed<HttpReply>) future.join()).failure().code();
  }
}
