package org.apricotstand.owner;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.ReplyControl;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.TargetId;
import org.apricotstand.schedule.ScheduledRequest;
import org.junit.jupiter.api.Test;

class EngineReplyTest {

  private final List<String> seen = new ArrayList<>();
  private final EngineReply reply =
      new EngineReply(
          new TargetId("engine-1"),
          request(),
          new Sink(),
          new Ending(),
          (fromToken, rest) -> seen.add("resume from " + fromToken));

  /** Guards against failing a request that the owner can run once its adapter is loaded. */
  @Test
  void leavesARequestWhoseAdapterIsNotLoadedWithoutOutcome() {
    answer(409, "{\"error\":{\"code\":\"adapter_not_loaded\"}}");
    assertThat(seen).containsExactly("not-loaded");
  }

  /** Guards against requeueing what the engine refused for another reason. */
  @Test
  void reportsAStaleFencingNumberAsNotRun() {
    answer(409, "{\"error\":{\"code\":\"stale_fencing\"}}");
    assertThat(seen).containsExactly("NotRun", "finished").inOrder();
  }

  /** Guards against an eviction under a request that runs on after its connection broke. */
  @Test
  void aBrokenConnectionDoesNotEndTheRun() {
    reply.onFailure(new CallFailure(true, "connection_lost", "test"));
    reply.onFailure(new CallFailure(true, "connection_lost", "test"));
    assertThat(seen).containsExactly("OutcomeUnknown", "broken").inOrder();
  }

  /** Guards against an answer of another adapter version that reaches the caller. */
  @Test
  void breaksOffAnAnswerOfAnotherVersion() {
    reply.onHead(
        200, new DefaultHttpHeaders().set(EngineHeaders.ADAPTER_VERSION, "a@v2"), new Control());
    reply.onPart(new byte[] {1});
    reply.onEnd();
    assertThat(seen).containsExactly("OutcomeUnknown", "broken", "cancel").inOrder();
  }

  /** Guards against a stream cut in mid-event that reaches the caller with a gap or a repeat. */
  @Test
  void resumesABrokenStreamAfterItsLastWholeEvent() {
    startStream();
    reply.onPart(bytes("data: 0\n\ndata: 1\n\nda"));
    reply.onFailure(new CallFailure(true, "connection_lost", "test"));
    startStream();
    reply.onPart(bytes("data: 2\n\ndata: [DONE]\n\n"));
    reply.onEnd();
    assertThat(seen)
        .containsExactly(
            "head",
            "part data: 0\n\ndata: 1\n\n",
            "resume from 2",
            "part data: 2\n\ndata: [DONE]\n\n",
            "end",
            "finished")
        .inOrder();
  }

  /** Guards against an engine that lost the sequence and is asked for it for ever. */
  @Test
  void failsWhenTheEngineCannotResume() {
    startStream();
    reply.onFailure(new CallFailure(true, "connection_lost", "test"));
    answer(404, "{\"error\":{\"code\":\"unknown_request\"}}");
    assertThat(seen).containsExactly("head", "resume from 0", "OutcomeUnknown", "broken").inOrder();
  }

  /** Guards against a stream without its last event that is closed as if it were whole. */
  @Test
  void failsOnAStreamThatEndsEarly() {
    startStream();
    reply.onPart(bytes("data: 0\n\n"));
    reply.onEnd();
    assertThat(seen)
        .containsExactly("head", "part data: 0\n\n", "OutcomeUnknown", "broken")
        .inOrder();
  }

  /** Guards against resuming a stream that its caller gave up. */
  @Test
  void doesNotResumeAStreamThatNobodyWants() {
    startStream();
    reply.forgoResumption();
    reply.onFailure(new CallFailure(true, "connection_lost", "test"));
    assertThat(seen).containsExactly("head", "OutcomeUnknown", "broken").inOrder();
  }

  private void startStream() {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set(EngineHeaders.ADAPTER_VERSION, "a@v1")
            .set("content-type", "text/event-stream");
    reply.onHead(200, headers, new Control());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void answer(int status, String body) {
    HttpHeaders headers = new DefaultHttpHeaders();
    reply.onHead(status, headers, new Control());
    reply.onPart(body.getBytes(StandardCharsets.UTF_8));
    reply.onEnd();
  }

  private static EngineRequest request() {
    ScheduledRequest scheduled =
        new ScheduledRequest(
            new RequestId("r1"),
            1,
            new AdapterVersion("a", "v1"),
            RequestClass.STANDARD,
            "test",
            0,
            1_000);
    return new EngineRequest(scheduled, "/v1/completions", "", new byte[0]);
  }

  private final class Ending implements EngineReply.Ending {
    @Override
    public void finished() {
      seen.add("finished");
    }

    @Override
    public void broken() {
      seen.add("broken");
    }

    @Override
    public void notLoaded(Failure failure) {
      seen.add("not-loaded");
    }
  }

  private final class Control implements ReplyControl {
    @Override
    public void suspend() {}

    @Override
    public void resume() {}

    @Override
    public void cancel() {
      seen.add("cancel");
    }
  }

  private final class Sink implements AnswerSink {
    @Override
    public void head(int status, Map<String, String> headers) {
      seen.add("head");
    }

    @Override
    public void part(byte[] part) {
      seen.add("part " + new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void end() {
      seen.add("end");
    }

    @Override
    public void failed(Outcome outcome) {
      seen.add(outcome.getClass().getSimpleName());
    }

    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public void onReady(Runnable listener) {}
  }
}
