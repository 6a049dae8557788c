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
      new EngineReply(new TargetId("engine-1"), request(), new Sink(), new Ending());

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
      seen.add("part");
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
