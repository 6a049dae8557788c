package org.apricotstand.operator;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.ConnectionUse;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;
import org.apricotstand.observe.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OperatorInterfaceTest {

  private static final String TOKEN = "0123456789abcdef";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group);
  private final FakeInstance instance = new FakeInstance();
  private final Metrics metrics = new Metrics();
  private final OperatorInterface operatorInterface = start(TOKEN);

  private OperatorInterface start(String token) {
    OperatorInterface started =
        new OperatorInterface(
            group, new InetSocketAddress("127.0.0.1", 0), token, instance, metrics);
    started.start();
    return started;
  }

  @AfterEach
  void stop() {
    operatorInterface.stop();
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private HttpReply call(String method, String path, String token) {
    HttpCall call =
        new HttpCall(
            method,
            "http://127.0.0.1:" + operatorInterface.address().getPort() + path,
            Map.of(),
            new byte[0],
            ControlThread.nowMs() + 10_000,
            ConnectionUse.SHARED);
    return http.send(token == null ? call : call.withHeader("authorization", "Bearer " + token))
        .join();
  }

  // Guards against access without a token to the state of an instance or to its drain.
  @Test
  void allPathsExceptProbesRequireToken() {
    for (String path : List.of("/metrics", "/status", "/explain?model=a", "/other")) {
      assertThat(call("GET", path, null).status()).isEqualTo(401);
      assertThat(call("GET", path, TOKEN + "x").status()).isEqualTo(401);
    }
    assertThat(call("POST", "/drain", null).status()).isEqualTo(401);
    assertThat(instance.drainCalls.get()).isEqualTo(0);
    assertThat(call("GET", "/live", null).status()).isEqualTo(200);
    assertThat(call("GET", "/ready", null).status()).isEqualTo(200);
  }

  // Guards against a load balancer that keeps sending requests to an instance that is not ready.
  @Test
  void readyReflectsStateOfInstance() {
    instance.ready = false;
    assertThat(call("GET", "/ready", null).status()).isEqualTo(503);
    assertThat(call("GET", "/live", null).status()).isEqualTo(200);
  }

  // Guards against a drain that a crawler or a prefetch starts with a GET request.
  @Test
  void drainRequiresPost() {
    assertThat(call("GET", "/drain", TOKEN).status()).isEqualTo(405);
    assertThat(instance.drainCalls.get()).isEqualTo(0);
    assertThat(call("POST", "/drain", TOKEN).status()).isEqualTo(202);
    assertThat(instance.drainCalls.get()).isEqualTo(1);
  }

  // Guards against paths that do not return the data of the instance, or the wrong error status.
  @Test
  void returnsStatusExplanationAndMetrics() {
    metrics.count("entry.answered");
    assertThat(call("GET", "/status", TOKEN).text()).contains("\"revision\":7");
    assertThat(call("GET", "/explain?model=a%40v1", TOKEN).text()).contains("\"model\":\"a@v1\"");
    assertThat(call("GET", "/explain?model=unknown", TOKEN).status()).isEqualTo(404);
    assertThat(call("GET", "/explain", TOKEN).status()).isEqualTo(400);
    assertThat(call("GET", "/metrics", TOKEN).text()).contains("entry_answered 1.0");
    assertThat(call("GET", "/metrics?format=json", TOKEN).text()).contains("\"entry.answered\":1");
  }

  private static final class FakeInstance implements InstanceView {
    final AtomicInteger drainCalls = new AtomicInteger();
    volatile boolean ready = true;

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public CompletableFuture<Status> status() {
      return CompletableFuture.completedFuture(
          new Status("entry-1", "a", 1, ready, false, 7, "hash", "", List.of(), List.of()));
    }

    @Override
    public CompletableFuture<Explanation> explain(String model) {
      return model.equals("unknown")
          ? CompletableFuture.failedFuture(new IllegalArgumentException("no adapter unknown"))
          : CompletableFuture.completedFuture(
              new Explanation(model, model, "", 7, "standard", false, 1, List.of()));
    }

    @Override
    public void drain() {
      drainCalls.incrementAndGet();
    }
  }
}
