package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotstand.input.InputGate;
import org.apricotstand.input.InputTurns;
import org.apricotstand.observe.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server that fills the memory of its process with what many callers send or do
 * not read, and against one that drops requests which it could answer.
 */
final class HttpServerMemoryTest {

  private static final HttpLimits LIMITS = new HttpLimits(16_384, 65_536, 100, 60_000, 30_000);
  private static final long MAX_HELD_BYTES = 100_000;
  private static final int SMALL_BUFFER_BYTES = 4_096;
  private static final int LARGE_ANSWER_BYTES = 110_000;
  private static final int PART_BYTES = 65_536;

  private final Metrics metrics = new Metrics();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Queue<HttpExchange> held = new ConcurrentLinkedQueue<>();
  private final CountDownLatch callerDisconnected = new CountDownLatch(1);
  private final HttpServer server =
      HttpServer.start(
          group,
          new InetSocketAddress("127.0.0.1", 0),
          LIMITS,
          HttpMemory.ofBytes(MAX_HELD_BYTES, metrics),
          this::handle);

  private void handle(HttpExchange exchange) {
    switch (exchange.request().path()) {
      case "/held" -> held.add(exchange);
      case "/throw" -> throw new IllegalStateException("handler failure of the test");
      case "/begin-and-throw" -> {
        exchange.begin(200, Map.of());
        throw new IllegalStateException("handler failure of the test");
      }
      case "/flood" -> {
        exchange.setCloseListener(callerDisconnected::countDown);
        exchange.begin(200, Map.of());
        writeUntilClosed(exchange);
      }
      case "/large" -> exchange.respondJson(200, "x".repeat(LARGE_ANSWER_BYTES) + "END");
      default -> exchange.respondJson(200, "\"" + exchange.request().body().length + "\"");
    }
  }

  private void writeUntilClosed(HttpExchange exchange) {
    exchange.write(new byte[PART_BYTES]);
    if (callerDisconnected.getCount() > 0) {
      group.schedule(() -> writeUntilClosed(exchange), 1, TimeUnit.MILLISECONDS);
    }
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void bodyThatStoppedIsRefusedAsNotRunWhenAnotherNeedsItsRoom() throws Exception {
    try (RawConnection stalled = new RawConnection(server.address());
        RawConnection served = new RawConnection(server.address())) {
      stalled.send(post("/", 60_000) + "x".repeat(59_999));
      awaitHeld("body", 59_999);
      served.send(post("/", 60_000) + "x".repeat(59_000));
      String refusal = stalled.readAll();
      assertThat(refusal).startsWith("HTTP/1.1 503 ");
      assertThat(refusal).contains("retry-after: 1\r\n");
      assertThat(refusal).contains("connection: close\r\n");
      assertThat(refusal).endsWith("\"code\":\"memory_short\",\"outcome\":\"not_run\"}}");
      served.send("x".repeat(1_000));
      assertThat(served.readUntil("\"60000\"")).startsWith("HTTP/1.1 200 ");
    }
    awaitNothingHeld();
  }

  @Test
  void linesOfUnendedHeadCountWithTheirObjects() throws Exception {
    String head = "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(300);
    try (RawConnection stalled = new RawConnection(server.address());
        RawConnection served = new RawConnection(server.address())) {
      stalled.send(head);
      awaitHeld("head", 300 * 200);
      served.send(head);
      assertThat(stalled.readAll()).isEmpty();
      served.send("\r\n");
      assertThat(served.readUntil("\"0\"")).startsWith("HTTP/1.1 200 ");
    }
    awaitNothingHeld();
  }

  @Test
  void smallChunksCountWithTheirBuffers() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send(
          "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(50));
      awaitHeld("body", 50 * 100);
    }
    awaitNothingHeld();
  }

  @Test
  void requestBeingAnsweredGetsItsAnswerWhenTheUnendedOneBehindItIsDropped() throws Exception {
    try (RawConnection caller = new RawConnection(server.address());
        RawConnection other = new RawConnection(server.address())) {
      caller.send(post("/held", 0) + post("/", 60_000) + "x".repeat(59_999));
      awaitHeld("body", 59_999);
      other.send(post("/", 60_000) + "x".repeat(60_000));
      assertThat(other.readUntil("\"60000\"")).startsWith("HTTP/1.1 200 ");
      awaitHeld("body", 0);
      held.remove().respondJson(200, "\"held\"");
      assertThat(caller.readAll()).endsWith("\"held\"");
    }
    awaitNothingHeld();
  }

  @Test
  void requestsBeyondThoseThatRunAreRefusedAndSmallOnesServedOnTheSameConnection()
      throws Exception {
    try (RawConnection first = new RawConnection(server.address());
        RawConnection second = new RawConnection(server.address())) {
      first.send(post("/held", 40_000) + "x".repeat(40_000));
      awaitHeld("running", 40_000);
      second.send(post("/held", 40_000) + "x".repeat(40_000));
      assertThat(second.readUntil("}}")).startsWith("HTTP/1.1 503 ");
      second.send(post("/", 2) + "xx");
      assertThat(second.readUntil("\"2\"")).startsWith("HTTP/1.1 200 ");
      assertThat(held).hasSize(1);
      held.remove().respondJson(200, "\"held\"");
      assertThat(first.readUntil("\"held\"")).startsWith("HTTP/1.1 200 ");
    }
    awaitNothingHeld();
  }

  /** Guards against requests that count as running for ever because their handler threw. */
  @Test
  void requestWhoseHandlerThrowsIsAnsweredAndReleased() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send(post("/throw", 40_000) + "x".repeat(40_000));
      String answer = caller.readUntil("}}");
      assertThat(answer).startsWith("HTTP/1.1 502 ");
      assertThat(answer).contains("\"code\":\"internal_error\"");
      awaitNothingHeld();
      caller.send(post("/", 2) + "xx");
      assertThat(caller.readUntil("\"2\"")).startsWith("HTTP/1.1 200 ");
    }
  }

  /** Guards against a begun answer that looks complete although its handler threw. */
  @Test
  void begunAnswerIsResetWhenItsHandlerThrows() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send(post("/begin-and-throw", 40_000) + "x".repeat(40_000));
      assertThrows(SocketException.class, caller::readAll);
    }
    awaitNothingHeld();
  }

  /** A caller that leaves does not end its request, whose body is still held. */
  @Test
  void requestOfCallerThatLeftCountsUntilItsAnswer() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send(post("/held", 40_000) + "x".repeat(40_000));
      awaitHeld("running", 40_000);
      caller.reset();
    }
    await(server::isIdle);
    assertThat(heldBytes("running")).isAtLeast(40_000.0);
    held.remove().respondJson(200, "\"held\"");
    awaitNothingHeld();
  }

  @Test
  void callerThatReadsNothingIsDropped() throws Exception {
    try (RawConnection caller = new RawConnection(server.address(), SMALL_BUFFER_BYTES)) {
      caller.send("GET /flood HTTP/1.1\r\n\r\n");
      assertThat(callerDisconnected.await(1, TimeUnit.MINUTES)).isTrue();
    }
    awaitNothingHeld();
  }

  @Test
  void oversizedBodyIsRefusedOnceAndItsRestCountsNothing() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send(post("/", 200_000) + "x".repeat(150_000));
      assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 413 ");
      assertThat(heldBytes("body")).isEqualTo(0.0);
      caller.send("x".repeat(50_000) + post("/", 2) + "xx");
      assertThat(caller.readUntil("\"2\"")).startsWith("HTTP/1.1 200 ");
    }
    awaitNothingHeld();
  }

  /** Guards against a refused body that counts as held although no byte of it has arrived. */
  @Test
  void announcedOversizedBodyCountsNothing() throws Exception {
    try (RawConnection caller = new RawConnection(server.address());
        RawConnection other = new RawConnection(server.address())) {
      caller.send(post("/", 200_000));
      assertThat(caller.readUntil("}}")).startsWith("HTTP/1.1 413 ");
      other.send(post("/", 60_000) + "x".repeat(60_000));
      assertThat(other.readUntil("\"60000\"")).startsWith("HTTP/1.1 200 ");
      assertThat(heldBytes("body")).isEqualTo(0.0);
      caller.send("x".repeat(200_000) + post("/", 2) + "xx");
      assertThat(caller.readUntil("\"2\"")).startsWith("HTTP/1.1 200 ");
    }
    awaitNothingHeld();
  }

  /**
   * Guards against lines that stay held although they are accounted for as released, because they
   * arrived in the same read as the request before them.
   */
  @Test
  void linesThatArriveWithTheRequestBeforeThemAreReleased() throws Exception {
    String head = "GET / HTTP/1.1\r\nconnection: close\r\n" + "a:b\r\n".repeat(300);
    try (RawConnection stalled = new RawConnection(server.address());
        RawConnection served = new RawConnection(server.address())) {
      stalled.send(post("/held", 0) + head);
      awaitHeld("head", 300 * 200);
      // Lines weigh less, and the others may be chosen, soon after the last of them arrived.
      TimeUnit.MILLISECONDS.sleep(20);
      served.send(head);
      served.send("\r\n");
      assertThat(served.readAll()).startsWith("HTTP/1.1 200 ");
      stalled.send("\r\n");
      held.remove().respondJson(200, "\"held\"");
      assertThat(stalled.readAll()).endsWith("\"held\"");
    }
    awaitNothingHeld();
  }

  /** Guards against the loss of the buffer of a request behind the last one that is answered. */
  @Test
  void requestBehindTheLastAnsweredOneIsReleased() {
    InputGate gate = new InputGate(InputTurns.ofCallers(new EmbeddedChannel().eventLoop()));
    HttpConnection connection = new HttpConnection(held::add, HttpMemory.unlimited(), gate);
    EmbeddedChannel channel = new EmbeddedChannel(new RequestReadTimeout(60_000), connection);
    FullHttpRequest last =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/held");
    HttpUtil.setKeepAlive(last, false);
    FullHttpRequest unanswered =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/held");
    channel.writeInbound(last, unanswered);
    assertThat(unanswered.refCnt()).isEqualTo(1);
    held.remove().respondJson(200, "\"held\"");
    channel.runPendingTasks();
    assertThat(held).isEmpty();
    assertThat(unanswered.refCnt()).isEqualTo(0);
    channel.finishAndReleaseAll();
  }

  /** Guards against the reset of a caller that reads an answer larger than what may be held. */
  @Test
  void callerThatReadsGetsItsLargeAnswer() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /large HTTP/1.1\r\n\r\n");
      assertThat(caller.readUntil("END").length()).isAtLeast(LARGE_ANSWER_BYTES);
      caller.send(post("/", 2) + "xx");
      assertThat(caller.readUntil("\"2\"")).startsWith("HTTP/1.1 200 ");
    }
    awaitNothingHeld();
  }

  private static String post(String path, int bodyBytes) {
    return "POST " + path + " HTTP/1.1\r\ncontent-length: " + bodyBytes + "\r\n\r\n";
  }

  private double heldBytes(String kind) {
    try {
      JsonNode all = new ObjectMapper().readTree(metrics.json());
      return all.path("memory.held." + kind).asDouble(-1);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits until at least the bytes are held, or none if they are 0. */
  private void awaitHeld(String kind, long bytes) throws InterruptedException {
    await(() -> bytes == 0 ? heldBytes(kind) == 0 : heldBytes(kind) >= bytes);
  }

  private void awaitNothingHeld() throws InterruptedException {
    for (String kind : new String[] {"head", "body", "queued", "running", "answer", "output"}) {
      awaitHeld(kind, 0);
    }
  }

  private static void await(java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      Thread.sleep(5);
    }
  }
}
