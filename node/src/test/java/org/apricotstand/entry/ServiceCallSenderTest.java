package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpHandler;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.http.HttpServer;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ServiceCallSenderTest {

  private static final long TIMEOUT_MS = 20_000;
  private static final int MAX_ANSWER_BYTES = 1_024;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group);
  private final ControlThread control = new ControlThread();
  private final List<HttpRequest> received = new CopyOnWriteArrayList<>();
  private RetryBudget budget = new RetryBudget(0.1, 5);
  private double retryRatio = 0.1;

  @AfterEach
  void stop() {
    control.stop();
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against losing parts of the call or its reply, and forwarding hop-by-hop headers. */
  @Test
  void forwardsTheCallAndItsReply() {
    Target target =
        target(exchange -> exchange.respond(201, Map.of("x-stock", "7"), new byte[] {'o', 'k'}));
    ServiceCallResult result = send(ServiceCallSender.RetryPolicy.NEVER, List.of(target));
    HttpRequest request = received.getFirst();
    assertThat(request.method()).isEqualTo("PUT");
    assertThat(request.path()).isEqualTo("/stock/fog");
    assertThat(request.query()).isEqualTo("size=5");
    assertThat(request.text()).isEqualTo("{}");
    assertThat(request.header("x-shop")).isEqualTo("almaty");
    assertThat(request.header("x-hop")).isNull();
    assertThat(request.header("te")).isNull();
    ServiceCallResult.Replied replied = (ServiceCallResult.Replied) result;
    assertThat(replied.reply().status()).isEqualTo(201);
    assertThat(EndToEndHeaders.of(replied.reply().headers())).containsEntry("x-stock", "7");
  }

  /** Guards against running a call twice when a target may have run it already. */
  @Test
  void callThatWasSentIsRetriedOnlyWhenRepeatable() {
    Target aborting = target(HttpExchange::abort);
    Target answering = target(exchange -> exchange.respondJson(200, "{}"));
    List<Target> targets = List.of(aborting, answering);
    assertThat(send(ServiceCallSender.RetryPolicy.NEVER, targets))
        .isInstanceOf(ServiceCallResult.OutcomeUnknown.class);
    assertThat(send(ServiceCallSender.RetryPolicy.WHILE_NOT_SENT, targets))
        .isInstanceOf(ServiceCallResult.OutcomeUnknown.class);
    assertThat(received).hasSize(2);
    assertThat(send(ServiceCallSender.RetryPolicy.ALWAYS, targets))
        .isInstanceOf(ServiceCallResult.Replied.class);
    assertThat(received).hasSize(4);
  }

  /** Guards against calls that fail because one of several targets is down. */
  @Test
  void callThatWasNotSentMayGoToAnotherTarget() {
    List<Target> targets =
        List.of(closedTarget(), target(exchange -> exchange.respondJson(200, "{}")));
    assertThat(send(ServiceCallSender.RetryPolicy.NEVER, targets))
        .isInstanceOf(ServiceCallResult.NotSent.class);
    assertThat(send(ServiceCallSender.RetryPolicy.WHILE_NOT_SENT, targets))
        .isInstanceOf(ServiceCallResult.Replied.class);
    assertThat(received).hasSize(1);
  }

  /** Guards against retries beyond the budget. */
  @Test
  void doesNotRetryWhenTheBudgetIsSpent() {
    budget = new RetryBudget(0, 1);
    retryRatio = 0;
    List<Target> targets = List.of(target(HttpExchange::abort), target(HttpExchange::abort));
    send(ServiceCallSender.RetryPolicy.ALWAYS, targets);
    assertThat(received).hasSize(2);
    send(ServiceCallSender.RetryPolicy.ALWAYS, targets);
    assertThat(received).hasSize(3);
  }

  /** Guards against reading an identity from the wrong place, or from a null or invalid body. */
  @Test
  void readsTheIdentityWhereItIsDeclared() {
    PlainService pointed = new PlainService("orders", "/orders", false, null, "/order/id");
    assertThat(IdentityReader.read(request("{\"order\":{\"id\":17}}"), pointed).orElseThrow())
        .isEqualTo("17");
    assertThat(IdentityReader.read(request("{\"order\":{\"id\":null}}"), pointed).isEmpty())
        .isTrue();
    assertThat(IdentityReader.read(request("no json"), pointed).isEmpty()).isTrue();
    PlainService named = new PlainService("orders", "/orders", false, "X-Shop", null);
    assertThat(IdentityReader.read(request(""), named).orElseThrow()).isEqualTo("almaty");
  }

  private ServiceCallResult send(ServiceCallSender.RetryPolicy retryPolicy, List<Target> targets) {
    CompletableFuture<ServiceCallResult> result = new CompletableFuture<>();
    ServiceCallSender callSender =
        new ServiceCallSender(
            http,
            control,
            budget,
            new Backoff(new SplittableRandom(1), 1, 1),
            new Metrics(),
            new Tracing(0),
            MAX_ANSWER_BYTES);
    control.execute(
        () ->
            callSender.send(
                request("{}"),
                targets,
                retryPolicy,
                retryRatio,
                ControlThread.nowMs() + TIMEOUT_MS,
                result::complete));
    return result.join();
  }

  private static HttpRequest request(String body) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add("x-shop", "almaty");
    headers.add("connection", "keep-alive, x-hop");
    headers.add("x-hop", "1");
    headers.add("te", "trailers");
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new HttpRequest("PUT", "/stock/fog", "size=5", headers, bytes, "127.0.0.1");
  }

  private Target target(HttpHandler handler) {
    HttpServer server =
        HttpServer.start(
            group,
            new InetSocketAddress("127.0.0.1", 0),
            HttpLimits.DEFAULT,
            exchange -> {
              received.add(exchange.request());
              handler.handle(exchange);
            });
    return targetAt(server.address().getPort());
  }

  private Target closedTarget() {
    HttpServer server =
        HttpServer.start(
            group, new InetSocketAddress("127.0.0.1", 0), HttpLimits.DEFAULT, exchange -> {});
    server.close();
    return targetAt(server.address().getPort());
  }

  private static Target targetAt(int port) {
    return new Target("s", Target.SERVICE, "stock", "a", "127.0.0.1:" + port, "ignored", 0, 0);
  }
}
