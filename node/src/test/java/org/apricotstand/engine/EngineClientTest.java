package org.apricotstand.engine;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.ReplyControl;
import org.apricotstand.http.ReplyListener;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.schedule.ScheduledRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineClientTest {

  private static final long TIMEOUT_MS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group);
  private final EngineClient engineClient = new EngineClient(http);

  @AfterEach
  void stop() {
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // Guards against a stream that is not resumed because its rest is requested on a pooled
  // connection, which broke at the same moment as the connection of the stream.
  @Test
  void resumesAStreamOnANewConnection() throws Exception {
    try (KeepAliveServer server = new KeepAliveServer()) {
      long deadlineMs = ControlThread.nowMs() + TIMEOUT_MS;
      engineClient.cancel(server.address(), "r0", deadlineMs).join();
      engineClient.cancel(server.address(), "r0", deadlineMs).join();
      EndOfReply end = new EndOfReply();
      engineClient.resumeStream(server.address(), 1, request(deadlineMs), 7, end);
      end.future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertThat(server.requests())
          .containsExactly("1 /v1/cancel", "1 /v1/cancel", "2 /v1/resume")
          .inOrder();
    }
  }

  // Guards against a request that is told "not run", or runs at a second engine, because its engine
  // writes the refusal of an earlier request once more on the connection.
  @Test
  void aRepeatedRefusalIsNotTheAnswerToTheNextRequest() throws Exception {
    String refusal = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
    KeepAliveServer.Script refusesFirstConnection =
        (connection, number) -> connection == 1 ? refusal : KeepAliveServer.OK;
    try (KeepAliveServer server = new KeepAliveServer(refusesFirstConnection)) {
      assertThat(send(server)).isEqualTo(409);
      assertThat(send(server)).isEqualTo(200);
      assertThat(send(server)).isEqualTo(200);
      assertThat(server.requests())
          .containsExactly("1 /v1/completions", "2 /v1/completions", "2 /v1/completions")
          .inOrder();
    }
  }

  // Guards against a request that is told "not run" because its engine writes the refusal of a
  // cancellation or of a state query once more on the connection.
  @Test
  void aRepeatedRefusalOfAnotherCallIsNotTheAnswerToTheNextRequest() throws Exception {
    String refusal = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    KeepAliveServer.Script refusesTwoConnections =
        (connection, number) -> connection <= 2 ? refusal : KeepAliveServer.OK;
    try (KeepAliveServer server = new KeepAliveServer(refusesTwoConnections)) {
      long deadlineMs = ControlThread.nowMs() + TIMEOUT_MS;
      engineClient.cancel(server.address(), "r0", deadlineMs).join();
      engineClient.queryState(server.address(), deadlineMs).join();
      assertThat(send(server)).isEqualTo(200);
      assertThat(server.requests())
          .containsExactly("1 /v1/cancel", "2 /v1/state", "3 /v1/completions")
          .inOrder();
    }
  }

  private int send(KeepAliveServer server) throws Exception {
    EndOfReply end = new EndOfReply();
    long deadlineMs = ControlThread.nowMs() + TIMEOUT_MS;
    engineClient.sendRequest(server.address(), 1, request(deadlineMs), end);
    end.future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    return end.status;
  }

  private static EngineRequest request(long deadlineMs) {
    ScheduledRequest scheduled =
        new ScheduledRequest(
            new RequestId("r1"),
            1,
            AdapterVersion.parse("letters@v1"),
            RequestClass.STANDARD,
            "caller",
            0,
            deadlineMs);
    return new EngineRequest(
        scheduled, "/v1/completions", "", "{}".getBytes(StandardCharsets.UTF_8));
  }

  private static final class EndOfReply implements ReplyListener {
    private final CompletableFuture<Void> future = new CompletableFuture<>();
    private volatile int status;

    @Override
    public void onHead(int answerStatus, HttpHeaders headers, ReplyControl control) {
      status = answerStatus;
    }

    @Override
    public void onPart(byte[] part) {}

    @Override
    public void onEnd() {
      future.complete(null);
    }

    @Override
    public void onFailure(CallFailure failure) {
      future.completeExceptionally(new AssertionError(failure.toString()));
    }
  }
}
