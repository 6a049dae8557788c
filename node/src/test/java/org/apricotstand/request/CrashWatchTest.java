package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.route.RequestKind;
import org.apricotstand.suspect.CrashSuspects;
import org.apricotstand.suspect.Trait;
import org.junit.jupiter.api.Test;

class CrashWatchTest extends RequestRouterFixture {

  /** Time between crashes that have nothing in common but the request. */
  private static final long CRASH_SPACING_MS = CrashSuspects.MOMENT_MS;

  // Guards against a request that crashes one target after the other.
  @Test
  void aRequestThatCrashedTwoTargetsIsRefused() throws Exception {
    serve(
        RequestKind.IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            (id, number, out) -> {
              targets.getFirst().close();
              return false;
            }));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
    Trait whole = traitsOfCall().wholeRequest();
    router.loop().submit(() -> router.onCrash("t2#1", Map.of(whole, 1))).sync();
    assertThat(call("")).contains("crashes_targets");
  }

  // Guards against different requests that share only one part of their prompts and crash one
  // target
  // after the other, because each of them is blamed for one crash only.
  @Test
  void aPromptPartThatCrashedTargetsIsRefusedInOtherRequests() throws Exception {
    for (int i = 1; i <= 3; i++) {
      serve(RequestKind.STREAM, 1, false, target("t" + i, crashes));
      assertThat(callWithPrompt("first:9,subject:9,harmful:9,own" + i + ":9"))
          .startsWith("HTTP/1.1 502 ");
      awaitFleetCalls(i);
      Thread.sleep(CRASH_SPACING_MS);
    }
    serve(RequestKind.STREAM, 1, false, target("t4", ANSWERS_DONE));
    assertThat(callWithPrompt("first:9,subject:9,harmful:9,own4:9")).contains("crashes_targets");
    assertThat(targets.getLast().heads()).isEmpty();
    assertThat(callWithPrompt("first:9,subject:9,own5:9")).endsWith("done");
    assertThat(refusals).containsExactly(new Trait.PromptPart("harmful"));
  }

  // Guards against requests that crash their targets although they were recognized while they
  // waited
  // there.
  @Test
  void aSentRequestWithoutAnswerEndsWhenItsTraitIsRefused() throws Exception {
    ScriptedTarget.Script silent = (id, number, out) -> true;
    serve(RequestKind.STREAM, 1, false, target("t1", silent));
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return callWithPrompt("first:9,harmful:9,own:9");
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    awaitHeads(1);
    Trait harmful = new Trait.PromptPart("harmful");
    long untilMs = ControlThread.nowMs() + TEST_TIMEOUT_MS;
    router.loop().submit(() -> router.onRefusal(harmful, untilMs)).sync();
    assertThat(answer.join()).startsWith("HTTP/1.1 502 ");
    assertThat(callWithPrompt("first:9,harmful:9,own2:9")).contains("crashes_targets");
  }

  // Guards against a refusal that goes on at this instance after another one has seen an answer.
  @Test
  void anAnswerAtAnotherInstanceEndsTheRefusal() throws Exception {
    Trait part = new Trait.PromptPart("subject");
    long untilMs = ControlThread.nowMs() + TEST_TIMEOUT_MS;
    serve(RequestKind.STREAM, 1, false, target("t1", ANSWERS_DONE));
    router.loop().submit(() -> router.onRefusal(part, untilMs)).sync();
    assertThat(callWithPrompt("subject:9,own:9")).contains("crashes_targets");
    router.loop().submit(() -> router.onAnswer(part)).sync();
    assertThat(callWithPrompt("subject:9,own2:9")).endsWith("done");
  }

  // Guards against an instance that goes on refusing what it gets answers to, because the refusal
  // of
  // another instance arrives after the answer that ended it there.
  @Test
  void aRefusalOfWhatWasAnsweredAMomentAgoIsContradicted() throws Exception {
    Trait part = new Trait.PromptPart("subject");
    serve(RequestKind.STREAM, 1, false, target("t1", ANSWERS_DONE));
    assertThat(callWithPrompt("subject:9,own:9")).endsWith("done");
    long untilMs = ControlThread.nowMs() + TEST_TIMEOUT_MS;
    router.loop().submit(() -> router.onRefusal(part, untilMs)).sync();
    assertThat(callWithPrompt("subject:9,own2:9")).endsWith("done");
    assertThat(fleetCalls).containsExactly("answered prompt/subject");
  }

  // Guards against a harmful request that goes on crashing targets because a prompt part, refused
  // by
  // mistake, explained its crashes until an answer ended that refusal.
  @Test
  void anAnswerThatEndsARefusalLeavesTheBlameOfTheRequest() throws Exception {
    Trait part = new Trait.PromptPart("subject");
    serve(RequestKind.STREAM, 1, false, target("t9", ANSWERS_DONE));
    Trait whole = traitsOfCall().wholeRequest();
    router
        .loop()
        .submit(
            () -> {
              router.onRefusal(part, ControlThread.nowMs() + TEST_TIMEOUT_MS);
              router.onCrash("t1#1", Map.of(part, 1, whole, 1));
              router.onCrash("t2#1", Map.of(part, 1, whole, 1));
            })
        .sync();
    assertThat(refusals).isEmpty();
    router.loop().submit(() -> router.onAnswer(part)).sync();
    assertThat(refusals).containsExactly(whole);
    assertThat(call("")).contains("crashes_targets");
    assertThat(callWithPrompt("subject:9,own:9")).endsWith("done");
  }

  // Guards against refusing a sound request that many callers send alike because it ran at two
  // targets that fail at once, although a third one answers it before the first probe.
  @Test
  void aRequestThatIsAnsweredElsewhereBeforeTheCrashIsNotedIsNotRefused() throws Exception {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", crashes));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    serve(RequestKind.IDEMPOTENT, 1, false, target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
    Trait whole = traitsOfCall().wholeRequest();
    router.loop().submit(() -> router.onCrash("t3#1", Map.of(whole, 1))).sync();
    assertThat(call("")).endsWith("done");
    assertThat(refusals).isEmpty();
  }

  // Guards against refusing a sound request that many callers send alike after two targets have
  // failed at once, although a third one answers it.
  @Test
  void aRequestThatIsAnsweredElsewhereAfterTheCrashesIsServedAgain() throws Exception {
    CountDownLatch endAnswer = new CountDownLatch(1);
    ScriptedTarget.Script slow =
        (id, number, out) -> {
          write(out, ok(id, "done").replace("done", "do"));
          awaitLatch(endAnswer);
          write(out, "ne");
          return true;
        };
    serve(RequestKind.STREAM, 1, false, target("t9", slow));
    Trait whole = traitsOfCall().wholeRequest();
    try (Socket caller = new Socket("127.0.0.1", server.address().getPort())) {
      caller.setSoTimeout((int) TEST_TIMEOUT_MS);
      caller.getOutputStream().write(CALL.getBytes(StandardCharsets.UTF_8));
      readUntil(caller.getInputStream(), "\r\n\r\ndo");
      router
          .loop()
          .submit(
              () -> {
                router.onCrash("t1#1", Map.of(whole, 1));
                router.onCrash("t2#1", Map.of(whole, 1));
              })
          .sync();
      assertThat(refusals).containsExactly(whole);
      endAnswer.countDown();
      readUntil(caller.getInputStream(), "ne");
    }
    serve(RequestKind.STREAM, 1, false, target("t8", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
    assertThat(fleetCalls).containsExactly("answered " + whole.encode());
  }

  // Guards against a request that crashes one target after the other without being blamed, because
  // a supervisor restarts each at the same address before it is probed.
  @Test
  void aTargetThatIsReplacedAfterALossHasCrashed() throws Exception {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", restarts));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    serve(RequestKind.IDEMPOTENT, 1, false, entry("t1", 2));
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
    Trait whole = traitsOfCall().wholeRequest();
    router.loop().submit(() -> router.onCrash("t2#1", Map.of(whole, 1))).sync();
    assertThat(call("")).contains("crashes_targets");
  }

  // Guards against a crash that stays unnoticed because the restarted target has another id.
  @Test
  void aTargetWhoseAddressHasAnotherIdAfterALossHasCrashed() throws Exception {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", restarts));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    serve(RequestKind.IDEMPOTENT, 1, false, entry("t2", 2));
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
  }

  // Guards against blaming a sound request for the restart of a target that cut it off and left the
  // list of targets before that, and for one that it cannot have caused.
  @Test
  void aTargetThatLeavesOrGoesOnAfterALossHasNotCrashed() throws Exception {
    ScriptedTarget.Script closes = (id, number, out) -> false;
    TargetEntry left = target("t1", closes);
    TargetEntry stays = target("t2", closes);
    serve(RequestKind.IDEMPOTENT, 1, false, left);
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    serve(RequestKind.IDEMPOTENT, 1, false, stays);
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    awaitProbes(2);
    router.loop().submit(router::onViewChanged).sync();
    serve(RequestKind.IDEMPOTENT, 1, false, stays, restarted(left));
    router.loop().submit(router::onViewChanged).sync();
    serve(RequestKind.IDEMPOTENT, 1, false, target("t3", crashes));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t3#1");
  }

  /**
   * Waits until targets have accepted a second connection, which is the probe, and it has ended.
   */
  private void awaitProbes(int count) throws Exception {
    long endMs = ControlThread.nowMs() + TEST_TIMEOUT_MS;
    while (targets.stream().filter(target -> target.connectionCount() > 1).count() < count
        && ControlThread.nowMs() < endMs) {
      Thread.onSpinWait();
    }
    // The loop has connected, but may not have told the watch yet; it may be in the middle of a
    // turn.
    router.loop().submit(() -> {}).sync();
    router.loop().submit(() -> {}).sync();
  }

  // Guards against a request that crashes one target after the other without being blamed, because
  // its connections stay half open and each of its attempts ends by a time-out.
  @Test
  void aTargetThatRefusesConnectionsAfterATimeOutHasCrashed() throws Exception {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", closesListener));
    assertThat(call("X-Deadline: 300\r\n")).startsWith("HTTP/1.1 504 ");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
  }

  // Guards against a crash behind a half-open connection that stays unnoticed because the target is
  // back before the attempt at it ends by a time-out.
  @Test
  void aTargetThatIsReplacedBeforeATimeOutHasCrashed() throws Exception {
    TargetEntry old = target("t1", (id, number, out) -> true);
    serve(RequestKind.IDEMPOTENT, 1, false, old);
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(() -> callUnchecked("X-Deadline: 300\r\n"));
    awaitHeads(1);
    serve(RequestKind.IDEMPOTENT, 1, false, restarted(old));
    assertThat(answer.join()).startsWith("HTTP/1.1 504 ");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
  }

  // Guards against a crash that stays unnoticed because the request is sent to another target
  // before
  // its connection is lost.
  @Test
  void aTargetThatRefusesConnectionsAfterARetryHasCrashed() throws Exception {
    TargetEntry crashed = target("t1", closesListener);
    serve(RequestKind.IDEMPOTENT, 2, false, crashed);
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(() -> callUnchecked("X-Deadline: 4000\r\n"));
    awaitHeads(1);
    serve(RequestKind.IDEMPOTENT, 2, false, crashed, target("t2", ANSWERS_DONE));
    assertThat(answer.join()).endsWith("done");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
  }

  // Guards against blaming a sound request that takes too long at a target that leaves, which
  // refuses connections while it ends its requests, or at one that is only slow.
  @Test
  void aTimeOutAtATargetThatLeavesOrIsSlowIsNoCrash() throws Exception {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", closesListener));
    // Long enough for the list of targets to be changed before it, also on a busy machine.
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(() -> callUnchecked("X-Deadline: 3000\r\n"));
    awaitHeads(1);
    TargetEntry slow = target("t2", (id, number, out) -> true);
    serve(RequestKind.IDEMPOTENT, 1, false, slow);
    assertThat(answer.join()).startsWith("HTTP/1.1 504 ");
    assertThat(call("X-Deadline: 300\r\n")).startsWith("HTTP/1.1 504 ");
    awaitProbes(1);
    TargetEntry crashed = target("t3", crashes);
    serve(RequestKind.IDEMPOTENT, 1, false, crashed);
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t3#1");
  }

  /** Closes the listener of the newest target and leaves the connection open. */
  private final ScriptedTarget.Script closesListener =
      (id, number, out) -> {
        targets.getLast().close();
        return true;
      };

  /** Returns the entry of the newest target with another id and start. */
  private TargetEntry entry(String id, long startedUnixMs) {
    int port = targets.getLast().port();
    return new TargetEntry(id, "s", "127.0.0.1", port, "d", 8, false, startedUnixMs, Map.of());
  }

  private static TargetEntry restarted(TargetEntry old) {
    return new TargetEntry(
        old.id(), "s", old.host(), old.port(), "d", 8, false, old.startedUnixMs() + 1, Map.of());
  }

  /** Crashes the newest target and starts another one at its address before the connection ends. */
  private final ScriptedTarget.Script restarts =
      (id, number, out) -> {
        int port = targets.getLast().port();
        targets.getLast().close();
        targets.add(new ScriptedTarget(ANSWERS_DONE, port));
        return false;
      };

  /** The request that {@link #call} sends without further headers. */
  private static final String CALL =
      "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nContent-Length: 2\r\n\r\nhi";

  private static void readUntil(InputStream in, String end) throws IOException {
    StringBuilder received = new StringBuilder();
    while (!received.toString().endsWith(end)) {
      int next = in.read();
      assertWithMessage(received.toString()).that(next).isAtLeast(0);
      received.append((char) next);
    }
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private String callUnchecked(String headers) {
    try {
      return call(headers);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the traits of the request that {@link #call} sends. */
  private static RequestTraits traitsOfCall() {
    CallerRequest request =
        new CallerRequest(
            HttpMethod.POST,
            "/p/x",
            new DefaultHttpHeaders().set("Host", "h"),
            "hi".getBytes(StandardCharsets.UTF_8),
            true,
            "127.0.0.1",
            0);
    return new RequestTraits(request, null, null);
  }

  /** Crashes the newest target: closes its listener and the connection of the request. */
  private final ScriptedTarget.Script crashes =
      (id, number, out) -> {
        targets.getLast().close();
        return false;
      };

  /** Sends a request with the given prompt parts and with a path that no other request has. */
  private String callWithPrompt(String parts) throws IOException {
    return sendRaw(
        "POST /p/"
            + parts.hashCode()
            + " HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\nX-Prompt: "
            + parts
            + "\r\nContent-Length: 2\r\n\r\nhi");
  }
}
