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
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.MemoryLimits;
import org.apricotstand.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CallerConnectionTest {

  private static final MemoryLimits MEMORY = new MemoryLimits(64_000_000, 1_000);
  private static final String REQUEST = "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final long TEST_TIMEOUT_MS = 20_000;
  private static final long IDLE_TIMEOUT_MS = 1_500;

  /** Time in which the server looks at each connection at least once. */
  private static final long SWEEP_WAIT_MS = 1_200;

  private static final int LONG_ANSWER_BYTES = 48_000_000;
  private static final int LAST_ANSWER_BYTES = 1_000_000;
  private static final int SLOW_READS = 40;
  private static final int SLOW_READ_BYTES = 500_000;
  private static final long SLOW_READ_PAUSE_MS = 90;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
  private final BlockingQueue<CallerRequest> requests = new LinkedBlockingQueue<>();
  private volatile boolean handlingFails;
  private volatile CallerLimits limits = new CallerLimits(16_384, 65_536, 3_000, 15_000);
  private CallerServer server;

  @BeforeEach
  void start() {
    CallHandler handler =
        (request, reply) -> {
          if (handlingFails) {
            throw new IllegalStateException("test");
          }
          requests.add(request);
          replies.add(reply);
          return new UnfinishedCall();
        };
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Metrics metrics = new Metrics();
    MemoryLimiter memory = new MemoryLimiter(MEMORY, AnswerLimits.DEFAULT, metrics);
    server =
        new CallerServer(
            loop, anyPort, () -> limits, handler, metrics, memory, MEMORY.maxConnections());
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    group.shutdownGracefully();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", server.address().getPort());
    socket.setSoTimeout((int) TEST_TIMEOUT_MS);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  private void answerNext() throws InterruptedException {
    Reply reply = replies.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    loop.execute(() -> reply.fail(504, "test", 0));
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  // Guards against a caller that loses the answer to a request that runs, because the next request
  // on its connection cannot be read.
  @Test
  void anUnreadableRequestIsRefusedAfterTheAnswersBeforeIt() throws Exception {
    try (Socket socket = connect()) {
      send(socket, REQUEST + REQUEST + "no request\r\n\r\n");
      answerNext();
      answerNext();
      String received = readAll(socket);
      assertThat(received.split("HTTP/1.1 504", -1)).hasLength(3);
      assertThat(received).contains("HTTP/1.1 400");
      assertThat(received.lastIndexOf("504 ")).isLessThan(received.indexOf("HTTP/1.1 400"));
    }
  }

  // Guards against a caller that loses the answers to its first requests because it sends too many
  // at once.
  @Test
  void tooManyRequestsAtOnceAreNotReadAndTheOthersAreAnswered() throws Exception {
    try (Socket socket = connect()) {
      send(socket, REQUEST.repeat(40));
      for (int i = 0; i < 17; i++) {
        answerNext();
      }
      assertThat(readAll(socket).split("HTTP/1.1 504", -1)).hasLength(18);
    }
  }

  // Guards against the rest of a head that is read as a request line of its own, because the
  // decoder
  // is replaced after the answer to the request with a long line before it.
  @Test
  void aHeadThatBeginsInTheReadOfTheRequestBeforeItIsReadOn() throws Exception {
    try (Socket socket = connect()) {
      String longLine = "X-Long: " + "x".repeat(4_000) + "\r\n";
      send(socket, "GET /p/ HTTP/1.1\r\nHost: h\r\n" + longLine + "\r\nGET /second HTTP/1.1\r\n");
      answerNext();
      requests.take();
      TimeUnit.MILLISECONDS.sleep(SWEEP_WAIT_MS);
      send(socket, "Host: h\r\n\r\n");
      CallerRequest second = requests.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertThat(second).isNotNull();
      assertThat(second.uri()).isEqualTo("/second");
    }
  }

  // Guards against a head that may stay incomplete for ever because it began in the same read as
  // the
  // end of the request before it.
  @Test
  void aHeadThatBeginsInTheReadOfTheRequestBeforeItGetsATimeout() throws Exception {
    limits = new CallerLimits(16_384, 65_536, 300, 15_000);
    try (Socket socket = connect()) {
      send(socket, REQUEST + "GET /second HTTP/1.1\r\n");
      answerNext();
      assertThat(readAll(socket)).contains("header_timeout");
    }
  }

  // Guards against memory of a request that is not served and not accounted for.
  @Test
  void nothingIsHeldOfRequestsBeyondThoseThatAreQueued() throws Exception {
    try (Socket socket = connect()) {
      send(socket, REQUEST.repeat(18) + "GET /p/ HTTP/1.1\r\nX-Long: " + "x".repeat(4_000));
      assertThat(replies.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
      CallerConnection connection = loop.submit(() -> server.callerConnections().getFirst()).get();
      long endMs = ControlThread.nowMs() + TEST_TIMEOUT_MS;
      while (!connection.isIgnoringInput() && ControlThread.nowMs() < endMs) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertThat(loop.submit(connection::isIgnoringInput).get()).isTrue();
      assertThat(loop.submit(connection::heldHeadBytes).get()).isEqualTo(0);
    }
  }

  // Guards against a process that ends while a request is still arriving, or runs.
  @Test
  void requestsCountAsOpenFromTheirFirstByteToTheEndOfTheirAnswer() throws Exception {
    assertThat(openRequests()).isEqualTo(0);
    try (Socket socket = connect()) {
      send(socket, "GET /p/");
      awaitOpenRequests(1);
      send(socket, REQUEST.substring("GET /p/".length()));
      answerNext();
      awaitOpenRequests(0);
    }
  }

  // Guards against requests that are accepted, and passed on, after the last look at those that are
  // open.
  @Test
  void aServerThatStopsAcceptingClosesIdleConnectionsAndReadsNoMore() throws Exception {
    try (Socket socket = connect();
        Socket halfSent = connect()) {
      send(socket, REQUEST);
      answerNext();
      awaitOpenRequests(0);
      send(halfSent, "GET /p/");
      awaitOpenRequests(1);
      loop.submit(() -> server.stopAccepting()).sync();
      readAll(socket);
      assertThat(readAll(halfSent)).startsWith("HTTP/1.1 503 ");
      awaitRefusedConnections();
      assertThat(replies).isEmpty();
    }
  }

  /**
   * Connects until the kernel refuses it. A closed listener is released when its event loop selects
   * again; a connection that is completed before that must be closed without an answer.
   */
  private void awaitRefusedConnections() throws Exception {
    long endMs = System.nanoTime() / 1_000_000 + TEST_TIMEOUT_MS;
    boolean refused = false;
    while (!refused && System.nanoTime() / 1_000_000 < endMs) {
      try (Socket socket = connect()) {
        assertThat(readAnswerOrReset(socket)).isEmpty();
      } catch (ConnectException e) {
        refused = true;
      }
    }
    assertThat(refused).isTrue();
  }

  private static String readAnswerOrReset(Socket socket) throws IOException {
    try {
      send(socket, REQUEST);
      return readAll(socket);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return "";
    }
  }

  // Guards against requests that were read and are dropped without an answer, because the answer
  // before them closes the connection of a stopping instance.
  @Test
  void aStoppingServerAnswersTheRequestsThatItHasRead() throws Exception {
    try (Socket socket = connect()) {
      send(socket, REQUEST + REQUEST + REQUEST);
      Reply first = replies.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      server.drain();
      loop.execute(() -> first.fail(504, "test", 0));
      answerNext();
      answerNext();
      String received = readAll(socket);
      assertThat(received.split("HTTP/1.1 504", -1)).hasLength(4);
      assertThat(received.split("(?i)connection: close", -1)).hasLength(2);
    }
  }

  // Guards against answers that are cut off because their caller reads them slowly: the connection
  // counted as idle from the moment at which the answer was written.
  @Test
  void aCallerThatReadsSlowlyGetsItsWholeAnswer() throws Exception {
    limits = new CallerLimits(16_384, 65_536, 3_000, IDLE_TIMEOUT_MS);
    try (Socket socket = connectWithSmallBuffer()) {
      send(socket, REQUEST);
      answerNextAtLength();
      assertThat(readSlowly(socket)).isEqualTo(LONG_ANSWER_BYTES);
    }
  }

  // Guards against answers that are cut off by the close of idle connections while an instance
  // stops.
  @Test
  void aStoppingServerCutsOffNoAnswerThatIsStillRead() throws Exception {
    try (Socket socket = connectWithSmallBuffer()) {
      send(socket, REQUEST);
      server.drain();
      answerNextAtLength();
      assertThat(readSlowly(socket)).isEqualTo(LONG_ANSWER_BYTES);
    }
  }

  // Guards against answers that are cut off because the process ends, or closes all connections,
  // while they are on their way.
  @Test
  void aRequestCountsAsOpenUntilItsAnswerHasLeft() throws Exception {
    try (Socket socket = connectWithSmallBuffer()) {
      send(socket, REQUEST);
      awaitOpenRequests(1);
      answerNextAtLength();
      loop.submit(() -> {}).sync();
      assertThat(openRequests()).isEqualTo(1);
      loop.submit(() -> server.stopAccepting()).sync();
      assertThat(readSlowly(socket)).isEqualTo(LONG_ANSWER_BYTES);
      awaitOpenRequests(0);
    }
  }

  // Guards against connections that are kept for callers that never read their answer.
  @Test
  void aCallerThatReadsNothingIsDisconnected() throws Exception {
    limits = new CallerLimits(16_384, 65_536, 3_000, IDLE_TIMEOUT_MS);
    try (Socket socket = connectWithSmallBuffer()) {
      send(socket, REQUEST);
      answerNextAtLength();
      awaitOpenRequests(0);
      assertThat(loop.submit(() -> server.openConnections()).get()).isEqualTo(0);
    }
  }

  private Socket connectWithSmallBuffer() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout((int) TEST_TIMEOUT_MS);
    socket.connect(server.address());
    return socket;
  }

  private void answerNextAtLength() throws InterruptedException {
    answerNext(LONG_ANSWER_BYTES);
  }

  private void answerNext(int bodyBytes) throws InterruptedException {
    Reply reply = replies.poll(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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

  /** Reads an answer over more than three seconds and returns the length of its body. */
  private static int readSlowly(Socket socket) throws IOException, InterruptedException {
    InputStream in = socket.getInputStream();
    String head = readHead(in);
    assertThat(head).startsWith("HTTP/1.1 200 ");
    int bytes = 0;
    try {
      for (int i = 0; i < SLOW_READS; i++) {
        bytes += in.readNBytes(SLOW_READ_BYTES).length;
        TimeUnit.MILLISECONDS.sleep(SLOW_READ_PAUSE_MS);
      }
      bytes += in.readNBytes(LONG_ANSWER_BYTES - bytes).length;
    } catch (SocketException e) {
      // The answer was cut off; the number of bytes shows it.
      assertThat(e).hasMessageThat().contains("reset");
    }
    return bytes;
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      assertThat(next).isAtLeast(0);
      head.append((char) next);
    }
    return head.toString();
  }

  // Guards against a refusal that is sent, and a deadline that begins, because of the line break
  // that old callers send behind a body.
  @Test
  void aLineBreakBehindARequestBeginsNoRequest() throws Exception {
    limits = new CallerLimits(16_384, 65_536, 200, 15_000);
    try (Socket socket = connect()) {
      send(socket, REQUEST);
      answerNext();
      awaitOpenRequests(0);
      send(socket, "\r\n");
      TimeUnit.MILLISECONDS.sleep(1_500);
      assertThat(openRequests()).isEqualTo(0);
      long beforeMs = ControlThread.nowMs();
      send(socket, REQUEST);
      answerNext();
      requests.remove();
      assertThat(requests.remove().arrivedMs()).isAtLeast(beforeMs);
    }
  }

  // Guards against a request that is dropped without an answer, and without a word in the log,
  // because its handling fails.
  @Test
  void aRequestWhoseHandlingFailsIsAnswered() throws Exception {
    handlingFails = true;
    try (Socket socket = connect()) {
      send(socket, REQUEST);
      assertThat(readHead(socket.getInputStream())).startsWith("HTTP/1.1 502 ");
    }
  }

  // Guards against the loss of a refusal, and of the answer before it, because the caller still
  // sends when the connection is closed.
  @Test
  void aCallerThatStillSendsGetsItsAnswers() throws Exception {
    String tooLarge = "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 20000000\r\n\r\n";
    try (Socket socket = connect()) {
      send(socket, REQUEST + tooLarge);
      awaitOpenRequests(1);
      answerNext();
      try {
        for (int i = 0; i < 20; i++) {
          socket.getOutputStream().write(new byte[100_000]);
          TimeUnit.MILLISECONDS.sleep(10);
        }
      } finally {
        String received = readAll(socket);
        assertThat(received).contains("HTTP/1.1 504 ");
        assertThat(received).contains("HTTP/1.1 413 ");
      }
    }
  }

  // Guards against the loss of the last answer of a stopping instance, because the caller sends its
  // next request when the connection is closed.
  @Test
  void aCallerThatSendsItsNextRequestGetsTheLastAnswer() throws Exception {
    String next = "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n";
    try (Socket socket = connectWithSmallBuffer()) {
      send(socket, REQUEST + next);
      awaitOpenRequests(1);
      server.drain();
      answerNext(LAST_ANSWER_BYTES);
      awaitOpenRequests(0);
      for (int i = 0; i < 5; i++) {
        sendUnlessClosed(socket);
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertThat(readHead(socket.getInputStream())).contains("connection: close");
      assertThat(readAll(socket)).hasLength(LAST_ANSWER_BYTES);
    }
  }

  private static void sendUnlessClosed(Socket socket) {
    try {
      socket.getOutputStream().write(new byte[1_000]);
    } catch (IOException e) {
      // The server need not read the request; what is received shows what became of the answer.
      assertThat(e).isInstanceOf(SocketException.class);
    }
  }

  // Guards against a caller that waits for leave to send a body which nobody gives it, because the
  // answer before was not complete when its request arrived.
  @Test
  void aQueuedRequestIsToldToContinue() throws Exception {
    try (Socket socket = connect()) {
      send(socket, REQUEST);
      awaitOpenRequests(1);
      send(
          socket,
          "POST /p/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
      TimeUnit.MILLISECONDS.sleep(100);
      answerNext();
      assertThat(readHead(socket.getInputStream())).startsWith("HTTP/1.1 504 ");
      socket.getInputStream().readNBytes("{\"error\":\"test\"}".length());
      assertThat(readHead(socket.getInputStream())).startsWith("HTTP/1.1 100 ");
    }
  }

  private int openRequests() throws Exception {
    return loop.submit(() -> server.openRequests()).get();
  }

  private void awaitOpenRequests(int count) throws Exception {
    long endMs = System.nanoTime() / 1_000_000 + TEST_TIMEOUT_MS;
    while (openRequests() != count && System.nanoTime() / 1_000_000 < endMs) {
      Thread.onSpinWait();
    }
    assertThat(openRequests()).isEqualTo(count);
  }
}
