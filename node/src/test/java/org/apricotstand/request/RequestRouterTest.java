package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.front.CallHandler;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.ModelSpec;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

class RequestRouterTest extends RequestRouterFixture {

  // Guards against a changed request or answer, and against callers that set reserved headers.
  @Test
  void forwardsRequestAndAnswerUnchanged() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            always(
                "HTTP/1.1 201 Created\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nyes",
                true)));
    String answer = call("X-Reserved: forged\r\nX-Deadline: 900\r\n");
    assertThat(answer).contains("201 Created");
    assertThat(answer).contains("X-Seal: s");
    assertThat(answer).endsWith("\r\n\r\nyes");
    String head = targets.getFirst().heads().getFirst();
    assertThat(head).startsWith("POST /p/x HTTP/1.1\n");
    assertThat(head).contains("x-expect-target: t1");
    assertThat(head).doesNotContain("forged");
    assertThat(Long.parseLong(ScriptedTarget.valueOf(head, "x-deadline", ""))).isAtMost(900);
  }

  // Guards against passing on an answer to another request, which the target sends first.
  @Test
  void dropsAnAnswerWithAnotherId() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            (id, number, out) -> {
              write(out, ok("other", "wrong") + ok(id, "right"));
              return true;
            }));
    assertThat(call("")).endsWith("right");
  }

  // Guards against a second run of a non-idempotent request that may have run already.
  @Test
  void aNonIdempotentRequestIsNotRetriedAfterALostAnswer() throws IOException {
    ScriptedTarget.Script closeConnection = (id, number, out) -> false;
    serve(
        RequestKind.NON_IDEMPOTENT,
        3,
        false,
        target("t1", closeConnection),
        target("t2", closeConnection));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    assertThat(targets.get(0).heads().size() + targets.get(1).heads().size()).isEqualTo(1);
  }

  // Guards against passing on a truncated answer as a complete one.
  @Test
  void aTruncatedAnswerIsNotPassedOn() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            always(
                "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
                false)));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against passing on bytes that are not HTTP, or waiting for an answer after them.
  @Test
  void anAnswerThatIsNotHttpIsAFailure() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target("t1", always("\u0001\u0002 what is this\r\n\r\n", false)));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against failing a request although the target stated that it did not run it.
  @Test
  void aRequestThatDidNotRunGoesToAnotherTarget() throws IOException {
    ScriptedTarget.Script notExecuted =
        always("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true);
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target("t1", notExecuted),
        target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
  }

  // Guards against failing an idempotent request although a second target could serve it.
  @Test
  void anIdempotentRequestIsRetriedAfterAFailure() throws IOException {
    ScriptedTarget.Script failing =
        always("HTTP/1.1 500 Oops\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n", true);
    serve(RequestKind.IDEMPOTENT, 2, false, target("t1", failing), target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
  }

  // Guards against more runs of an idempotent request than the route allows.
  @Test
  void theLastFailureIsPassedOnWhenNoAttemptIsLeft() throws IOException {
    ScriptedTarget.Script failing =
        always("HTTP/1.1 500 Oops\r\nX-Id: q1\r\nContent-Length: 4\r\n\r\noops", true);
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", failing), target("t2", failing));
    String answer = call("");
    assertThat(answer).startsWith("HTTP/1.1 500 ");
    assertThat(answer).endsWith("oops");
  }

  // Guards against events that are lost, duplicated or merged when a broken stream is resumed at
  // another target.
  @Test
  void aResumableStreamContinuesAfterItsLastWholeEvent() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    ScriptedTarget.Script breaking =
        (id, number, out) -> {
          write(out, head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
          return false;
        };
    ScriptedTarget.Script resuming =
        (id, number, out) -> {
          write(out, head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
          return true;
        };
    ScriptedTarget.Script breakThenResume =
        (id, number, out) ->
            joinedHeads().contains("last-event-id: 1")
                ? resuming.answer(id, number, out)
                : breaking.answer(id, number, out);
    serve(
        RequestKind.STREAM, 2, true, target("t1", breakThenResume), target("t2", breakThenResume));
    String answer = call("");
    assertThat(answer).contains("id: 1\ndata: a\n\n");
    assertThat(answer).contains("id: 2\ndata: b\n\n");
    assertThat(answer).endsWith("0\r\n\r\n");
    assertThat(answer.split("id: 2", -1)).hasLength(2);
  }

  private String joinedHeads() {
    return targets.stream()
        .flatMap(target -> target.heads().stream())
        .reduce("", (joined, head) -> joined + head);
  }

  // Guards against sending a last chunk after a broken stream, which would make it look complete.
  @Test
  void aBrokenStreamEndsWithoutItsLastChunk() throws IOException {
    serve(
        RequestKind.STREAM,
        1,
        false,
        target(
            "t1",
            (id, number, out) -> {
              write(
                  out,
                  "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + chunk("id: 1\n\n"));
              return false;
            }));
    assertThat(call("")).doesNotContain("0\r\n\r\n");
  }

  // Guards against sending a request to an engine that has not loaded its adapter.
  @Test
  void waitsUntilTheEngineHoldsTheAdapter() throws Exception {
    EngineSpec engine = new EngineSpec(8, 1_000, 4, List.of(new ModelSpec("m", 500, 1_000, 10)));
    TargetEntry target = target("t1", ANSWERS_DONE);
    view = view(RequestKind.STREAM, 1, false, Optional.of(engine), Map.of(), target);
    Thread loader =
        Thread.ofPlatform()
            .start(
                () -> {
                  awaitFleetCall();
                  Residency residency = Residency.of(Map.of(ADAPTER, 1L));
                  view =
                      view(
                          RequestKind.STREAM,
                          1,
                          false,
                          Optional.of(engine),
                          Map.of("t1", residency),
                          target);
                  router.loop().execute(router::onViewChanged);
                });
    assertThat(call("X-Model: m/a1\r\n")).contains("done");
    loader.join();
    assertThat(fleetCalls).contains("t1 m/a1 0");
  }

  // Guards against requests that wait for an adapter until their callers disconnect.
  @Test
  void refusesBeforeTheCallerDisconnectsWhenTheAdapterIsNotLoaded() throws Exception {
    EngineSpec engine = new EngineSpec(8, 1_000, 4, List.of(new ModelSpec("m", 500, 1_000, 10)));
    firstByteTimeoutMs = 400;
    view =
        view(
            RequestKind.STREAM,
            1,
            false,
            Optional.of(engine),
            Map.of(),
            target("t1", ANSWERS_DONE));
    String answer = call("X-Model: m/a1\r\nX-Deadline: 4000\r\n").toLowerCase(Locale.ROOT);
    assertThat(answer).startsWith("http/1.1 503 ");
    assertThat(answer).contains("adapter_not_loaded");
    assertThat(answer).contains("retry-after: ");
    assertThat(targets.getFirst().heads()).isEmpty();
  }

  // Guards against request smuggling by ambiguous body lengths, which two servers read differently.
  @Test
  void refusesARequestWithAmbiguousLength() throws IOException {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", (id, number, out) -> false));
    String lengthAndChunked =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "0\r\n\r\nGET /p/y HTTP/1.1\r\nHost: h\r\n\r\n";
    assertThat(sendRaw(lengthAndChunked)).startsWith("HTTP/1.1 400 ");
    String unsupportedEncoding =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n";
    assertThat(sendRaw(unsupportedEncoding)).startsWith("HTTP/1.1 400 ");
    assertThat(targets.getFirst().heads()).isEmpty();
  }

  // Guards against a 404 before the first configuration is known; the request may be retried.
  @Test
  void answersNotRunBeforeAConfigurationIsKnown() throws IOException {
    String answer = call("");
    assertThat(answer).startsWith("HTTP/1.1 503 ");
    assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: ");
  }

  // Guards against a request that is accepted shortly before the process stops and is then cut off.
  @Test
  void aStoppingInstanceRefusesRequestsThatCouldOutliveIt() throws Exception {
    serve(RequestKind.STREAM, 1, false, target("t1", ANSWERS_DONE));
    long nowMs = System.nanoTime() / 1_000_000;
    router.drain(nowMs + 60_000, nowMs + 1_000);
    assertThat(call("")).contains("done");
    router.drain(nowMs, nowMs + 60_000);
    assertThat(call("")).contains("done");
    router.drain(nowMs, nowMs + 1_000);
    assertThat(call("")).startsWith("HTTP/1.1 503 ");
  }

  // Guards against orders that are cut without an answer at the end of the grace period, and
  // against
  // telling a caller that its order has not run although a target has it.
  @Test
  void aRequestThatRunsWhenTheProcessEndsIsAnsweredAsUnknown() throws Exception {
    ScriptedTarget.Script silent = (id, number, out) -> true;
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", silent));
    CompletableFuture<String> answer = CompletableFuture.supplyAsync(this::callUnchecked);
    awaitHeads(1);
    group.next().execute(router::endRequests);
    assertThat(answer.get()).startsWith("HTTP/1.1 502 ");
    assertThat(answer.get()).contains("shutting_down");
  }

  // Guards against refusing what comes in the moment between the start of an instance and its
  // configuration, which callers meet when instances are restarted in turn.
  @Test
  void aRequestWaitsForTheConfigurationOfAStartingInstance() throws Exception {
    CompletableFuture<String> answer = CompletableFuture.supplyAsync(this::callUnchecked);
    while (group.next().submit(server::openRequests).get() == 0) {
      Thread.onSpinWait();
    }
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", ANSWERS_DONE));
    group.next().execute(router::onViewChanged);
    assertThat(answer.get()).endsWith("done");
  }

  // Guards against a target that works for a caller who has left: the caller of a request that
  // waited
  // for the configuration and was started at the end of that wait.
  @Test
  void aCallerThatLeavesAfterTheWaitCancelsItsRequest() throws Exception {
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    CallHandler.ActiveCall started =
        new CallHandler.ActiveCall() {
          @Override
          public void onCallerDisconnected() {
            cancelled.complete(null);
          }

          @Override
          public void onCallerWritable() {}
        };
    EventLoop loop = group.next();
    long untilMs = System.nanoTime() / 1_000_000;
    PlanWait wait = loop.submit(() -> new PlanWait(loop, untilMs, () -> started)).get();
    long endMs = System.nanoTime() / 1_000_000 + TEST_TIMEOUT_MS;
    while (!group.next().submit(wait::isEnded).get() && System.nanoTime() / 1_000_000 < endMs) {
      Thread.onSpinWait();
    }
    group.next().submit(wait::onCallerDisconnected).sync();
    assertThat(cancelled.isDone()).isTrue();
  }

  // Guards against requests that wait for a configuration that does not come.
  @Test
  void anInstanceWithoutConfigurationRefusesAsNotRun() throws IOException {
    String answer = call("");
    assertThat(answer).startsWith("HTTP/1.1 503 ");
    assertThat(answer).contains("no_configuration");
    assertThat(call("")).contains("no_configuration");
  }

  // Guards against requests that wait for an adapter and are cut without an answer when the process
  // ends.
  @Test
  void aRequestThatWaitsWhenTheProcessEndsIsRefusedAsNotRun() throws Exception {
    EngineSpec spec = new EngineSpec(8, 100, 4, List.of(new ModelSpec("m", 50, 100, 10)));
    view =
        view(
            RequestKind.STREAM,
            1,
            false,
            Optional.of(spec),
            Map.of("t1", Residency.of(Map.of(new AdapterKey("m", ""), 1L))),
            target("t1", ANSWERS_DONE));
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(() -> callUnchecked("X-Model: m/a1\r\n"));
    awaitFleetCall();
    group.next().execute(router::endRequests);
    assertThat(answer.get()).startsWith("HTTP/1.1 503 ");
    assertThat(answer.get()).contains("retry-after");
  }

  private String callUnchecked() {
    return callUnchecked("");
  }

  private String callUnchecked(String headers) {
    try {
      return call(headers);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // Guards against an order that runs twice: a faulty target answers it once more after it has
  // rejected it, and that answer is taken for the one to the second attempt on the same connection.
  @Test
  void anExtraAnswerToARejectedRequestIsNotThatOfTheNextAttempt() throws Exception {
    ScriptedTarget.Script answersTwice =
        (id, number, out) -> {
          if (number == 1) {
            write(out, "HTTP/1.1 421 Other\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            group.schedule(() -> writeQuietly(out, ok(id, "extra")), 50, TimeUnit.MILLISECONDS);
          } else {
            pause(400);
            write(out, ok(id, "done"));
          }
          return true;
        };
    EngineSpec spec = new EngineSpec(8, 100, 4, List.of(new ModelSpec("m", 50, 100, 10)));
    Map<String, Residency> residency =
        Map.of("t1", Residency.of(Map.of(new AdapterKey("m", ""), 1L, ADAPTER, 1L)));
    TargetEntry target = target("t1", answersTwice);
    view = view(RequestKind.NON_IDEMPOTENT, 1, false, Optional.of(spec), residency, target);
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(() -> callUnchecked("X-Model: m/a1\r\n"));
    awaitHeads(1);
    awaitFleetCall();
    // The owner reports that the engine has the adapter, so that it is asked again.
    Map<String, Residency> reported =
        Map.of("t1", Residency.of(Map.of(new AdapterKey("m", ""), 1L, ADAPTER, 1L)));
    view = view(RequestKind.NON_IDEMPOTENT, 1, false, Optional.of(spec), reported, target);
    group.next().execute(router::onViewChanged);
    assertThat(answer.get()).endsWith("done");
  }

  // Guards against a request that is dropped without an answer, because a step of it fails.
  @Test
  void aRequestWhoseFirstStepFailsIsAnswered() throws IOException {
    fleetFails = true;
    serveEngine(Map.of(), ANSWERS_DONE);
    assertThat(call("X-Model: m/a1\r\n")).contains("internal_error");
  }

  // Guards against a request that waits for its deadline, or for ever, because the step fails that
  // follows a target's answer.
  @Test
  void aRequestWhoseStepAfterAnAnswerFailsIsAnswered() throws IOException {
    fleetFails = true;
    String rejection = "HTTP/1.1 421 Other\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n";
    serveEngine(Map.of(ADAPTER, 1L), always(rejection, true));
    assertThat(call("X-Model: m/a1\r\n")).contains("internal_error");
  }

  private void serveEngine(Map<AdapterKey, Long> adapters, ScriptedTarget.Script script)
      throws IOException {
    EngineSpec spec = new EngineSpec(8, 100, 4, List.of(new ModelSpec("m", 50, 100, 10)));
    Map<AdapterKey, Long> resident = new HashMap<>(adapters);
    resident.put(new AdapterKey("m", ""), 1L);
    Map<String, Residency> residency = Map.of("t1", Residency.of(resident));
    TargetEntry target = target("t1", script);
    view = view(RequestKind.NON_IDEMPOTENT, 1, false, Optional.of(spec), residency, target);
  }

  private static void pause(long durationMs) {
    try {
      Thread.sleep(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void writeQuietly(OutputStream out, String text) {
    try {
      write(out, text);
    } catch (IOException e) {
      // The connection was closed, as it should be.
    }
  }

  // Guards against an idempotent request that waits for a silent target until its deadline.
  @Test
  void anIdempotentRequestIsRetriedWhenTheTargetIsSilent() throws IOException {
    ScriptedTarget.Script firstIsSilent =
        (id, number, out) -> {
          if (countHeads() > 1) {
            write(out, ok(id, "done"));
          }
          return true;
        };
    serve(
        RequestKind.IDEMPOTENT, 2, false, target("t1", firstIsSilent), target("t2", firstIsSilent));
    assertThat(call("X-Deadline: 1500\r\n")).endsWith("done");
  }

  // Guards against passing on a success without signature, as a crashing target can send it.
  @Test
  void aSuccessWithoutSignatureIsNotPassedOn() throws IOException {
    serve(
        RequestKind.STREAM,
        1,
        false,
        target("t1", always("HTTP/1.1 200 OK\r\nX-Id: q1\r\n\r\n", false)));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against an answer without length that gets no last chunk, although its target has ended
  // it, and against bytes around it that are not the target's.
  @Test
  void anAnswerWithoutLengthEndsWithTheConnectionOfItsTarget() throws IOException {
    serve(
        RequestKind.STREAM,
        1,
        false,
        target("t1", always("HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\nid: 1\n\n", false)));
    String answer = call("");
    assertThat(answer).endsWith("\r\n\r\n" + chunk("id: 1\n\n") + "0\r\n\r\n");
    assertThat(answer.toLowerCase(Locale.ROOT)).contains("transfer-encoding: chunked\r\n");
  }

  // Guards against adding an end to an answer without length, whose end the target did not send.
  @Test
  void anAnswerWithoutLengthWhoseTargetResetsItGetsNoEnd() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\n";
    try (ResettingTarget target = new ResettingTarget(head + "id: 1\n\n")) {
      serve(RequestKind.STREAM, 1, false, target.entry("t1"));
      String answer = call("");
      assertThat(answer).doesNotContain("0\r\n\r\n");
      assertThat(answer).endsWith("[reset]");
    }
  }

  // Guards against sending a second answer into a started stream that cannot be resumed.
  @Test
  void aStreamThatCannotBeResumedIsAborted() throws IOException {
    ScriptedTarget.Script breaking =
        always(
            "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk("id: 1\ndata: a\n\n"),
            false);
    List<TargetEntry> entries = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      entries.add(target("t" + i, breaking));
    }
    serve(RequestKind.STREAM, 9, true, entries.toArray(new TargetEntry[0]));
    targets.subList(1, targets.size()).forEach(ScriptedTarget::close);
    String answer = call("");
    assertThat(answer.split("HTTP/1.1", -1).length - 1).isAtMost(1);
    assertThat(answer).doesNotContain("0\r\n\r\n");
  }

  // Guards against more runs than the route allows when a target refuses to resume a stream.
  @Test
  void aRefusedResumptionCountsAsARun() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    ScriptedTarget.Script script =
        (id, number, out) -> {
          if (joinedHeads().contains("last-event-id")) {
            write(out, "HTTP/1.1 404 No\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n");
          } else {
            write(out, head + chunk("id: 1\n\n"));
          }
          return false;
        };
    serve(
        RequestKind.STREAM,
        2,
        true,
        target("t1", script),
        target("t2", script),
        target("t3", script));
    assertThat(call("")).doesNotContain("0\r\n\r\n");
    assertThat(countHeads()).isEqualTo(2);
  }

  /** Returns a script that sends a head and then bytes until the connection is closed. */
  private static ScriptedTarget.Script endless(String head, String repeated) {
    return (id, number, out) -> {
      write(out, head);
      while (true) {
        write(out, repeated);
      }
    };
  }

  /** Asserts that an endless answer ends the request as soon as the limit is reached. */
  private void assertEndsWith502(String head, String repeated) throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", endless(head, repeated)));
    assertThat(call("")).startsWith("HTTP/1.1 502");
  }

  // Guards against a target that fills the memory of an instance with a body without end.
  @Test
  void aBodyWithoutEndIsCutOff() throws IOException {
    assertEndsWith502("HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\n", "x".repeat(4_096));
  }

  // Guards against a head without end, which is no answer at any length.
  @Test
  void aHeadWithoutEndIsCutOff() throws IOException {
    assertEndsWith502("HTTP/1.1 200 OK\r\n", "X-More: x\r\n");
  }

  // Guards against a target that keeps a connection busy with an answer to another request.
  @Test
  void anAnswerWithoutEndToAnotherRequestIsCutOff() throws IOException {
    assertEndsWith502("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n\r\n", "x".repeat(4_096));
  }

  // Guards against interim answers that never lead to a final one.
  @Test
  void interimAnswersWithoutEndAreCutOff() throws IOException {
    assertEndsWith502("", "HTTP/1.1 102 Processing\r\n\r\n");
  }

  // Guards against an event of a resumable stream that is kept in memory and never ends.
  @Test
  void anEventWithoutEndIsCutOff() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    serve(
        RequestKind.STREAM,
        1,
        true,
        target("t1", endless(head, "1000\r\n" + "x".repeat(4_096) + "\r\n")));
    // The stream must end visibly, without its last chunk.
    assertThat(call("")).doesNotContain("\r\n0\r\n\r\n");
  }

  // Guards against a rejection whose body never ends, after which the request waits in vain.
  @Test
  void aRejectionWithoutEndCountsAsNotRun() throws IOException {
    String head = "HTTP/1.1 503 Full\r\nX-Id: q1\r\nX-Not-Executed: 1\r\n\r\n";
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target("t1", endless(head, "x".repeat(4_096))),
        target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
  }

  // Guards against a target that gets as many requests as before after it has named a limit.
  @Test
  void aTargetThatNamesALimitGetsNoMoreThanItAllows() throws IOException {
    ScriptedTarget.Script limited =
        (id, number, out) -> {
          write(out, "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nX-Limit: 0.01\r\n");
          write(out, "Content-Length: 0\r\n\r\n");
          return true;
        };
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", limited), target("t2", ANSWERS_DONE));
    for (int i = 0; i < 12; i++) {
      assertThat(call("")).startsWith("HTTP/1.1 200 OK");
    }
    // One and a half times the limit in four seconds, and five requests.
    assertThat(targets.getFirst().heads().size()).isAtMost(5);
  }
}
