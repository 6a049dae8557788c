package org.apricotstand.front;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.MemoryLimits;
import org.apricotstand.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a caller gets when memory or connections run short. */
class CallerMemoryTest {

  private static final MemoryLimits MEMORY = new MemoryLimits(400_000, 8);
  private static final int TEST_TIMEOUT_MS = 20_000;
  private static final int BODY_BYTES = 65_536;
  private static final String REQUEST = "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String POST =
      "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Metrics metrics = new Metrics();
  private final List<Socket> sockets = new ArrayList<>();
  private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
  private volatile CallerLimits limits = new CallerLimits(16_384, BODY_BYTES, 3_000, 15_000);
  private CallerServer server;

  @BeforeEach
  void start() {
    start(MEMORY);
  }

  private void start(MemoryLimits memoryLimits) {
    CallHandler handler =
        (request, reply) -> {
          replies.add(reply);
          return new UnfinishedCall();
        };
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    MemoryLimiter memory = new MemoryLimiter(memoryLimits, AnswerLimits.DEFAULT, metrics);
    server =
        new CallerServer(
            loop, anyPort, () -> limits, handler, metrics, memory, memoryLimits.maxConnections());
    server.start();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    server.stop();
    group.shutdownGracefully();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(TEST_TIMEOUT_MS);
    socket.connect(server.address());
    return socket;
  }

  private Socket connectAndSend(String text) throws IOException {
    Socket socket = connect();
    send(socket, text);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private Reply nextReply() throws InterruptedException {
    Reply reply = replies.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(reply).isNotNull();
    return reply;
  }

  private void awaitCount(String metric, long count) throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TEST_TIMEOUT_MS);
    while (metrics.counter(metric).getCount() < count && System.nanoTime() < endNs) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(metrics.counter(metric).getCount()).isAtLeast(count);
  }

  // Guards against a refusal of a caller whose request has ended, or against none, when bodies that
  // never end fill the memory.
  @Test
  void aBodyWithoutEndIsRefusedWhenMemoryRunsShort() throws Exception {
    List<Socket> crowd = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      crowd.add(connectAndSend(POST + "x".repeat(BODY_BYTES - 1)));
    }
    awaitCount("memory.rejected.body", 1);
    Socket ordinary = connectAndSend(REQUEST);
    Reply reply = nextReply();
    loop.execute(() -> reply.fail(504, "test", 0));
    assertThat(new String(ordinary.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1))
        .isEqualTo("HTTP/1.1 504");
    crowd.getLast().setSoTimeout(TEST_TIMEOUT_MS);
    int refused = 0;
    for (Socket socket : crowd) {
      if (socket.getInputStream().available() > 0) {
        String answer = readAll(socket);
        assertThat(answer).startsWith("HTTP/1.1 503 ");
        assertThat(answer).contains("memory_short");
        assertThat(answer.toLowerCase(Locale.ROOT)).contains("\r\nretry-after: 1.000");
        refused++;
      }
    }
    assertThat(refused).isAtLeast(1);
    assertThat(replies).isEmpty();
  }

  // Guards against a head of legal size that costs forty times its length and is not counted before
  // it ends.
  @Test
  void aHeadWithoutEndCountsWithTheObjectsOfItsLines() throws Exception {
    Socket socket = connectAndSend("GET /p/ HTTP/1.1\r\nHost: h\r\n" + "a:b\r\n".repeat(2_500));
    awaitCount("memory.rejected.head", 1);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 503 ");
  }

  // Guards against requests that wait for their targets and fill the memory, so that all others are
  // refused, and against a close of the connection of one that has not run.
  @Test
  void aLargeRequestThatDoesNotFitBesideThoseThatRunIsRefusedAndItsConnectionKept()
      throws Exception {
    for (int i = 0; i < 4; i++) {
      connectAndSend(POST + "x".repeat(BODY_BYTES));
      nextReply();
    }
    Socket refused = connectAndSend(POST + "x".repeat(BODY_BYTES));
    assertThat(new String(refused.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1))
        .isEqualTo("HTTP/1.1 503");
    assertThat(replies).isEmpty();
    send(refused, REQUEST);
    nextReply();
  }

  // Guards against answers to one caller that pile up because it sends requests and reads nothing.
  @Test
  void aRequestWaitsUntilTheAnswerBeforeItHasLeft() throws Exception {
    int answerBytes = 300_000;
    Socket socket = connectAndSend(REQUEST + REQUEST);
    int answers = 0;
    for (Reply reply = nextReply();
        reply != null;
        reply = replies.poll(500, TimeUnit.MILLISECONDS)) {
      answerAtLength(reply, answerBytes);
      answers++;
      send(socket, REQUEST);
      if (answers > 100) {
        break;
      }
    }
    assertThat(answers).isLessThan(100);
    int unread = answers;
    socket.getInputStream().readNBytes(unread * answerBytes);
    nextReply();
  }

  private void answerAtLength(Reply reply, int bodyBytes) throws InterruptedException {
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    ByteBuf body = Unpooled.wrappedBuffer(new byte[bodyBytes]);
    loop.submit(
            () -> {
              reply.writeHead(head);
              reply.writePart(body);
              reply.end();
            })
        .sync();
  }

  // Guards against bodies that stay open for ever, a byte at a time or without any.
  @Test
  void aBodyThatStopsGetsATimeout() throws Exception {
    limits = new CallerLimits(16_384, BODY_BYTES, 1_000, 300);
    Socket socket = connectAndSend(POST + "x");
    String answer = readAll(socket);
    assertThat(answer).startsWith("HTTP/1.1 408 ");
    assertThat(answer).contains("body_timeout");
    assertThat(replies).isEmpty();
  }

  // Guards against callers that find no connection because others hold all and send nothing, and
  // against a close of connections that carry requests.
  @Test
  void anUnusedConnectionIsClosedForANewOne() throws Exception {
    Socket busy = connectAndSend(REQUEST);
    Reply reply = nextReply();
    List<Socket> unused = new ArrayList<>();
    for (int i = 1; i < MEMORY.maxConnections(); i++) {
      unused.add(connect());
    }
    connectAndSend(REQUEST);
    nextReply();
    assertThat(readAll(unused.getFirst())).isEmpty();
    loop.execute(() -> reply.fail(504, "test", 0));
    assertThat(new String(busy.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1))
        .isEqualTo("HTTP/1.1 504");
  }

  // Guards against a refusal that its caller loses because its connection is reset for a new one,
  // while a connection stays whose request never ends.
  @Test
  void aRefusedConnectionIsClosedAfterThoseWhoseRequestIsNotComplete() throws Exception {
    for (int i = 2; i < MEMORY.maxConnections(); i++) {
      connectAndSend(REQUEST);
      nextReply();
    }
    Socket arriving = connectAndSend(POST + "x");
    Socket refused = connectAndSend("no request\r\n\r\n");
    assertThat(new String(refused.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1))
        .isEqualTo("HTTP/1.1 400");
    connectAndSend(REQUEST);
    nextReply();
    arriving.setSoTimeout(5_000);
    assertThat(readAll(arriving)).isEmpty();
  }

  // Guards against an answer that is cut off because its connection counts as idle, while it is
  // still on its way, when another caller connects.
  @Test
  void aConnectionWhoseAnswerIsOnItsWayIsNotClosedForANewOne() throws Exception {
    int answerBytes = 12_000_000;
    server.stop();
    start(new MemoryLimits(16_777_216, MEMORY.maxConnections()));
    Socket first = connectAndSend(REQUEST);
    answerAtLength(nextReply(), answerBytes);
    for (int i = 1; i < MEMORY.maxConnections(); i++) {
      connectAndSend(REQUEST);
      nextReply();
    }
    Socket rejected = connect();
    assertThat(readAll(rejected)).isEmpty();
    assertThat(first.getInputStream().readNBytes(answerBytes)).hasLength(answerBytes);
  }
}
