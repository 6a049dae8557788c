package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Outcome;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class RemoteOwnerClientTest {

  private static final InstanceId OWNER = new InstanceId("owner");
  private static final InstanceId OTHER = new InstanceId("other");
  private static final PeerMessage.TargetLoad LOAD =
      new PeerMessage.TargetLoad("engine-1", 0, 0, List.of());

  private final List<PeerMessage> sent = new ArrayList<>();
  private final RemoteOwnerClient remoteOwners =
      new RemoteOwnerClient(
          (peer, message) -> {
            sent.add(message);
            return true;
          });

  /** Sink that records the answer and is writable or not as the test sets it. */
  private static final class RecordingSink implements AnswerSink {
    private final StringBuilder text = new StringBuilder();
    private final List<Outcome> failures = new ArrayList<>();
    private boolean ended;
    private boolean writable = true;
    private Runnable writableListener = () -> {};

    @Override
    public void writeHead(int status, Map<String, String> headers) {}

    @Override
    public void writePart(byte[] part) {
      text.append(new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void end() {
      ended = true;
    }

    @Override
    public void fail(Outcome outcome) {
      failures.add(outcome);
    }

    @Override
    public boolean isWritable() {
      return writable;
    }

    @Override
    public void setWritableListener(Runnable newListener) {
      writableListener = newListener;
    }
  }

  /** Guards against swapping the answers of two requests that arrive in another order. */
  @Test
  void matchesAnswersByRequestId() {
    RecordingSink first = send("r1", 1);
    RecordingSink second = send("r2", 1);
    chunk(OWNER, "r2", 1, "two");
    chunk(OWNER, "r1", 1, "one");
    assertThat(first.text.toString()).isEqualTo("one");
    assertThat(second.text.toString()).isEqualTo("two");
  }

  /** Guards against parts of an earlier attempt in the answer of a later one. */
  @Test
  void dropsLateAnswerOfEarlierAttempt() {
    RecordingSink second = send("r1", 2);
    chunk(OWNER, "r1", 1, "late");
    remoteOwners.handleOnLinkThread(OWNER, new PeerMessage.RouteEnd("r1", 1, LOAD));
    assertThat(second.text.toString()).isEmpty();
    assertThat(second.ended).isFalse();
  }

  /** Guards against accepting an answer from an instance to which the request was not sent. */
  @Test
  void dropsAnswerOfAnotherInstance() {
    RecordingSink sink = send("r1", 1);
    chunk(OTHER, "r1", 1, "wrong");
    assertThat(sink.text.toString()).isEmpty();
  }

  /** Guards against callers that wait forever after the link to the owner closed. */
  @Test
  void closedLinkEndsItsRequestsWithUnknownOutcome() {
    RecordingSink lost = send("r1", 1);
    remoteOwners.onLinkClosed(OWNER);
    remoteOwners.handleOnLinkThread(OWNER, new PeerMessage.RouteEnd("r1", 1, LOAD));
    assertThat(lost.failures).hasSize(1);
    assertThat(lost.failures.getFirst()).isInstanceOf(Outcome.OutcomeUnknown.class);
    assertThat(lost.ended).isFalse();
  }

  /** Guards against an owner that sends without bound while the caller reads slowly. */
  @Test
  void returnsCreditOnlyWhenTheCallerReads() {
    RecordingSink sink = send("r1", 1);
    sink.writable = false;
    chunk(OWNER, "r1", 1, "x".repeat(RemoteOwnerClient.CREDIT_BYTES));
    assertThat(creditBytes()).isEqualTo(0);
    sink.writable = true;
    sink.writableListener.run();
    assertThat(creditBytes()).isEqualTo(RemoteOwnerClient.CREDIT_BYTES);
  }

  private int creditBytes() {
    return sent.stream()
        .filter(PeerMessage.RouteCredit.class::isInstance)
        .mapToInt(message -> ((PeerMessage.RouteCredit) message).bytes())
        .sum();
  }

  private RecordingSink send(String requestId, int attempt) {
    RecordingSink sink = new RecordingSink();
    PeerMessage.Route route =
        new PeerMessage.Route(
            requestId,
            attempt,
            "engine-1",
            "a@v1",
            1,
            1_000,
            "STANDARD",
            "caller",
            "/v1/completions",
            "",
            new byte[0],
            RemoteOwnerClient.CREDIT_BYTES,
            false);
    remoteOwners.send(OWNER, route, sink);
    return sink;
  }

  private void chunk(InstanceId from, String requestId, int attempt, String text) {
    remoteOwners.handleOnLinkThread(
        from,
        new PeerMessage.RouteChunk(requestId, attempt, text.getBytes(StandardCharsets.UTF_8)));
  }
}
