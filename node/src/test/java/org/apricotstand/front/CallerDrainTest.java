package org.apricotstand.front;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apricotstand.drain.Drain;
import org.apricotstand.drain.DrainAction;
import org.apricotstand.drain.DrainEvent;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.MemoryLimits;
import org.apricotstand.route.CallerLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays drains with callers that connect, send in parts and send several requests at once. */
class CallerDrainTest {

  private static final MemoryLimits MEMORY = new MemoryLimits(16_777_216, 1_000);
  private static final long GRACE_MS = 8_000;
  private static final int DRAINS = 25;
  private static final int MAX_TICK_MS = 60;
  private static final long CLOSE_WAIT_MS = 2_000;
  private static final long TEST_TIMEOUT_MS = 20_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** A connection of a caller; the rest of its last request may still have to be sent. */
  private static final class CallerSocket {
    private final Socket socket;
    private final CompletableFuture<String> received = new CompletableFuture<>();
    private String unsent = "";

    CallerSocket(InetSocketAddress address) throws IOException {
      socket = new Socket(address.getAddress(), address.getPort());
      InputStream in = socket.getInputStream();
      Thread.ofVirtual().start(() -> received.complete(readAll(in)));
    }

    private static String readAll(InputStream in) {
      StringBuilder text = new StringBuilder();
      try {
        for (int next = in.read(); next >= 0; next = in.read()) {
          text.append((char) next);
        }
      } catch (IOException e) {
        // What has arrived until the connection was reset counts.
        return text.toString();
      }
      return text.toString();
    }

    /**
     * Returns what arrived until the connection was closed. A connection that was still in the
     * queue of the listener at its close may hear of that only when it sends something.
     */
    String receivedUntilClose() throws Exception {
      try {
        return received.get(CLOSE_WAIT_MS, TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        socket.shutdownOutput();
        return received.get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** One drain, whose time is that of its ticks. */
  private static final class Play {
    private final EventLoop loop;
    private final Random random;
    private final double activity;
    private final CallerServer server;
    private final Drain drain = new Drain();
    private final List<CallerSocket> sockets = new ArrayList<>();
    private final List<String> passedOn = new ArrayList<>();
    private final List<Runnable> openReplies = new ArrayList<>();
    private int requests;
    private long nowMs;
    private boolean ended;

    Play(EventLoop loop, long seed) {
      this.loop = loop;
      this.random = new Random(seed);
      this.activity = random.nextDouble();
      CallerLimits limits = new CallerLimits(16_384, 65_536, 30_000, 30_000);
      InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      Metrics metrics = new Metrics();
      MemoryLimiter memory = new MemoryLimiter(MEMORY, AnswerLimits.DEFAULT, metrics);
      server =
          new CallerServer(
              loop, anyPort, () -> limits, this::take, metrics, memory, MEMORY.maxConnections());
      server.start();
    }

    private CallHandler.ActiveCall take(CallerRequest request, Reply reply) {
      passedOn.add(request.uri());
      openReplies.add(() -> reply.fail(504, "answer" + request.uri() + ".", 0));
      return new UnfinishedCall();
    }

    void run() throws Exception {
      loop.submit(() -> carryOut(new DrainEvent.StopRequested(GRACE_MS))).sync();
      while (!ended) {
        if (random.nextDouble() < activity) {
          callerStep();
        }
        loop.submit(this::instanceStep).sync();
      }
      server.stop();
      StringBuilder received = new StringBuilder();
      for (CallerSocket socket : sockets) {
        received.append(socket.receivedUntilClose());
        socket.socket.close();
      }
      for (String uri : passedOn) {
        assertWithMessage("answers").that(received.toString()).contains("answer" + uri + ".");
      }
    }

    private void callerStep() {
      try {
        if (sockets.isEmpty() || random.nextInt(4) == 0) {
          sockets.add(new CallerSocket(server.address()));
        }
        CallerSocket socket = sockets.get(random.nextInt(sockets.size()));
        String text = socket.unsent;
        int more = text.isEmpty() ? random.nextInt(3) : 0;
        for (int i = 0; i < more; i++) {
          text += "GET /" + requests++ + " HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        int sent = random.nextBoolean() ? text.length() : random.nextInt(text.length() + 1);
        socket.unsent = text.substring(sent);
        socket.send(text.substring(0, sent));
      } catch (IOException e) {
        // The instance takes no more connections, or has closed this one.
        return;
      }
    }

    private void instanceStep() {
      for (int i = random.nextInt(4); i > 0 && !openReplies.isEmpty(); i--) {
        openReplies.remove(random.nextInt(openReplies.size())).run();
      }
      nowMs += random.nextInt(MAX_TICK_MS);
      carryOut(new DrainEvent.Tick(server.openRequests(), server.openConnections(), true));
    }

    private void carryOut(DrainEvent event) {
      for (DrainAction action : drain.handle(event, nowMs)) {
        switch (action) {
          case DrainAction.Leave leave -> server.drain();
          case DrainAction.EndRequests end -> answerAll();
          case DrainAction.StopAccepting stop -> server.stopAccepting();
          case DrainAction.ReleaseEngines release -> {}
          case DrainAction.Exit exit -> ended = true;
        }
      }
    }

    private void answerAll() {
      while (!openReplies.isEmpty()) {
        openReplies.removeFirst().run();
      }
    }
  }

  // Guards against an order of connections, bytes, answers and ticks in which a request is passed
  // on and the process ends without an answer to it.
  @ParameterizedTest
  @ValueSource(longs = {33, 3_481, 37_445})
  void whatIsPassedOnIsAnsweredBeforeTheEnd(long seed) throws Exception {
    try {
      for (int i = 0; i < DRAINS; i++) {
        new Play(group.next(), seed + i).run();
      }
    } finally {
      group.shutdownGracefully();
    }
  }
}
