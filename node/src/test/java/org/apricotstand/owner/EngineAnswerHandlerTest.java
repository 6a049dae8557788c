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

class EngineAnswerHandlerTest {

  private final List<String> seen = new ArrayList<>();
  private String failureCode = "";
  private final EngineAnswerHandler handler =
      new EngineAnswerHandler(
          new TargetId("engine-1"),
          request(),
          new RecordingSink(),
          new RecordingEndListener(),
          (fromToken, rest) -> seen.add("resume from " + fromToken));

  /** Guards against failing a request that can run once its adapter has been loaded. */
  @Test
  void reportsAnAdapterThatIsNotLoadedWithoutFailingTheRequest() {
    answer(409, "{\"error\":{\"code\":\"adapter_not_loaded\"}}");
    assertThat(seen).containsExactly("not-loaded");
  }

  /** Guards against requeueing a request that the engine refused for another reason. */
  @Test
  void reportsAStaleFencingNumberAsNotRun() {
    answer(409, "{\"error\":{\"code\":\"stale_fencing\"}}");
    assertThat(seen).containsExactly("NotRun", "finished").inOrder();
  }

  /** Guards against evicting an adapter while a request whose connection broke still uses it. */
  @Test
  void treatsARequestAsPossiblyRunningAfterItsConnectionBroke() {
    handler.onFailure(new CallFailure(true, "connection_lost", "test"));
    handler.onFailure(new CallFailure(true, "connection_lost", "test"));
    assertThat(seen).containsExactly("OutcomeUnknown", "broken").inOrder();
  }

  /** Guards against forwarding the answer of another adapter version to the caller. */
  @Test
  void abortsAnAnswerOfAnotherVersion() {
    handler.onHead(
        200,
        new DefaultHttpHeaders().set(EngineHeaders.ADAPTER_VERSION, "a@v2"),
        new RecordingControl());
    handler.onPart(new byte[] {1});
    handler.onEnd();
    assertThat(seen).containsExactly("OutcomeUnknown", "broken", "cancel").inOrder();
  }

  /** Guards against lost or duplicated events when the connection breaks within an event. */
  @Test
  void resumesABrokenStreamAfterItsLastWholeEvent() {
    startStream();
    handler.onPart(bytes("data: 0\n\ndata: 1\n\nda"));
    handler.onFailure(new CallFailure(true, "connection_lost", "test"));
    startStream();
    handler.onPart(bytes("data: 2\n\ndata: [DONE]\n\n"));
    handler.onEnd();
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

  /** Guards against endless resume requests to an engine that no longer has the sequence. */
  @Test
  void failsWhenTheEngineCannotResume() {
    startStream();
    handler.onFailure(new CallFailure(true, "connection_lost", "test"));
    answer(404, "{\"error\":{\"code\":\"unknown_request\"}}");
    assertThat(seen).containsExactly("head", "resume from 0", "OutcomeUnknown", "broken").inOrder();
  }

  /** Guards against ending a stream that lacks its last event as if it were complete. */
  @Test
  void failsOnAStreamThatEndsEarly() {
    startStream();
    handler.onPart(bytes("data: 0\n\n"));
    handler.onEnd();
    assertThat(seen)
        .containsExactly("head", "part data: 0\n\n", "OutcomeUnknown", "broken")
        .inOrder();
  }

  /** Guards against the text of an error as an event of the stream that it should continue. */
  @Test
  void aResumptionOfAnotherKindIsNotPartOfTheStream() {
    startStream();
    handler.onPart(bytes("data: 0\n\n"));
    handler.onFailure(new CallFailure(true, "connection_lost", "test"));
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set(EngineHeaders.ADAPTER_VERSION, "a@v1")
            .set("content-type", "application/json");
    handler.onHead(200, headers, new RecordingControl());
    handler.onPart(bytes("{\"error\":\"oops\"}\n\n"));
    handler.onEnd();
    assertThat(seen)
        .containsExactly(
            "head", "part data: 0\n\n", "resume from 1", "OutcomeUnknown", "broken", "cancel")
        .inOrder();
  }

  /** Guards against the head and the text of an error in the middle of a stream. */
  @Test
  void theHeadOfAnErrorInsideAStreamIsNotForwarded() {
    startStream();
    handler.onPart(bytes("data: 0\n\nHTTP/1.1 500 Oops\n\n"));
    handler.onPart(bytes("{\"error\":\"oops\"}\n\ndata: [DONE]\n\n"));
    handler.onEnd();
    assertThat(seen)
        .containsExactly("head", "part data: 0\n\n", "OutcomeUnknown", "broken", "cancel")
        .inOrder();
  }

  /** Guards against the late second answer of another request, among them its refusal. */
  @Test
  void anAnswerToAnotherRequestIsNotForwarded() {
    HttpHeaders headers = new DefaultHttpHeaders().set(EngineHeaders.REQUEST_ID, "r0");
    handler.onHead(409, headers, new RecordingControl());
    handler.onPart(bytes("{\"error\":{\"code\":\"adapter_not_loaded\"}}"));
    handler.onEnd();
    assertThat(seen).containsExactly("OutcomeUnknown", "broken", "cancel").inOrder();
  }

  /** Guards against resuming a stream that the caller has canceled. */
  @Test
  void doesNotResumeACanceledStream() {
    startStream();
    handler.disableResume();
    handler.onFailure(new CallFailure(true, "connection_lost", "test"));
    assertThat(seen).containsExactly("head", "OutcomeUnknown", "broken").inOrder();
  }

  // Guards against suspecting a canceled request of a crash, because its engine closed the
  // connection as it was told.
  @Test
  void theLostConnectionOfACanceledRequestIsReportedAsCanceled() {
    startStream();
    handler.disableResume();
    handler.onFailure(new CallFailure(true, CallFailure.CONNECTION_LOST, "test"));
    assertThat(failureCode).isEqualTo("canceled");
  }

  private void startStream() {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set(EngineHeaders.ADAPTER_VERSION, "a@v1")
            .set("content-type", "text/event-stream");
    handler.onHead(200, headers, new RecordingControl());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void answer(int status, String body) {
    HttpHeaders headers = new DefaultHttpHeaders();
    handler.onHead(status, headers, new RecordingControl());
    handler.onPart(body.getBytes(StandardCharsets.UTF_8));
    handler.onEnd();
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

  private final class RecordingEndListener implements EngineAnswerHandler.EndListener {
    @Override
    public void onFinished() {
      seen.add("finished");
    }

    @Override
    public void onPossiblyRunning() {
      seen.add("broken");
    }

    @Override
    public void onAdapterNotLoaded(Failure failure) {
      seen.add("not-loaded");
    }
  }

  private final class RecordingControl implements ReplyControl {
    @Override
    public void suspend() {}

    @Override
    public void resume() {}

    @Override
    public void cancel() {
      seen.add("cancel");
    }
  }

  private final class RecordingSink implements AnswerSink {
    @Override
    public void writeHead(int status, Map<String, String> headers) {
      seen.add("head");
    }

    @Override
    public void writePart(byte[] part) {
      seen.add("part " + new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void end() {
      seen.add("end");
    }

    @Override
    public void fail(Outcome outcome) {
      seen.add(outcome.getClass().getSimpleName());
      failureCode =
          outcome instanceof Outcome.OutcomeUnknown(Failure failure) ? failure.code() : "";
    }

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void setWritableListener(Runnable listener) {}
  }
}
