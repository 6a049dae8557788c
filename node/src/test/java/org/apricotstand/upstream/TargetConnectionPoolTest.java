package org.apricotstand.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.port.TestHeaders;
import org.apricotstand.upstream.TargetConnectionPool.ProbeResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TargetConnectionPoolTest {

  private static final int TIMEOUT_S = 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final TargetConnectionPool pool =
      new TargetConnectionPool(loop, TestHeaders.NAMES, 1_024, any -> 1);
  private ServerSocket listener;
  private TargetEntry target;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    int port = listener.getLocalPort();
    target = new TargetEntry("t1", "s", "127.0.0.1", port, "d", 8, false, 1, Map.of());
  }

  @AfterEach
  void close() throws IOException {
    listener.close();
    group.shutdownGracefully();
  }

  private static final class RecordingListener implements AnswerListener {
    private final CompletableFuture<SendFailure> failure = new CompletableFuture<>();

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onPart(ByteBuf part) {}

    @Override
    public void onReadComplete() {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(SendFailure newFailure) {
      failure.complete(newFailure);
    }
  }

  /** Sends a request on a new connection and returns the connection. */
  private TargetConnection send(RecordingListener answers) throws Exception {
    TargetRequest request =
        new TargetRequest("q", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
    CompletableFuture<TargetConnection> connected = new CompletableFuture<>();
    loop.execute(() -> pool.send(target, request, answers, connected::complete));
    return connected.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private ProbeResult probe() throws Exception {
    CompletableFuture<ProbeResult> result = new CompletableFuture<>();
    loop.execute(() -> pool.probe(target, result::complete));
    return result.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private boolean canSend() throws Exception {
    return loop.submit(() -> pool.canSend(target)).get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  // Guards against a connection beyond the limit, which the target resets, and against a target
  // that
  // counts as unreachable because it was not probed.
  @Test
  void neitherARequestNorAProbeExceedsTheLimit() throws Exception {
    assertThat(canSend()).isTrue();
    send(new RecordingListener());
    assertThat(canSend()).isFalse();
    assertThat(probe()).isEqualTo(ProbeResult.NOT_TRIED);
    RecordingListener second = new RecordingListener();
    TargetRequest request =
        new TargetRequest("q2", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
    loop.execute(() -> pool.send(target, request, second, connection -> true));
    assertThat(second.failure.get(TIMEOUT_S, TimeUnit.SECONDS))
        .isInstanceOf(SendFailure.NotSent.class);
  }

  // Guards against a place that a closed connection or a finished probe holds forever.
  @Test
  void aClosedConnectionGivesItsPlaceBack() throws Exception {
    TargetConnection connection = send(new RecordingListener());
    loop.submit(connection::cancel).get(TIMEOUT_S, TimeUnit.SECONDS);
    awaitCanSend();
    assertThat(probe()).isEqualTo(ProbeResult.ACCEPTED);
    awaitCanSend();
  }

  // Guards against a place that a failed connect holds forever.
  @Test
  void aFailedConnectGivesItsPlaceBack() throws Exception {
    listener.close();
    assertThat(probe()).isEqualTo(ProbeResult.REFUSED);
    awaitCanSend();
  }

  private void awaitCanSend() throws Exception {
    long endMs = System.nanoTime() / 1_000_000 + TIMEOUT_S * 1_000;
    while (!canSend() && System.nanoTime() / 1_000_000 < endMs) {
      Thread.onSpinWait();
    }
    assertThat(canSend()).isTrue();
  }
}
