package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a server that drains does with connections and requests that it has taken. */
class HttpServerDrainTest {

  private static final HttpLimits LIMITS = new HttpLimits(1_024, 2_048, 8, 60_000, 20_000);
  private static final String REQUEST = "GET /p HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final long TEST_TIMEOUT_S = 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
  private final HttpServer server =
      HttpServer.start(group, new InetSocketAddress("127.0.0.1", 0), LIMITS, exchanges::add);

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private HttpExchange nextExchange() throws InterruptedException {
    return exchanges.poll(TEST_TIMEOUT_S, TimeUnit.SECONDS);
  }

  // Guards against a request that is cut off at a stop, because its connection was accepted but not
  // yet counted when the server looked for open ones: the event loop of the connection was busy.
  @Test
  void connectionsCountAsOpenAsSoonAsTheyAreAccepted() throws Exception {
    // The listener and every second connection run on the first loop of the group.
    List<EventExecutor> loops = new ArrayList<>();
    group.forEach(loops::add);
    CountDownLatch busy = new CountDownLatch(1);
    loops.getLast().execute(() -> awaitQuietly(busy));
    try (RawConnection late = new RawConnection(server.address());
        RawConnection other = new RawConnection(server.address())) {
      other.send(REQUEST);
      HttpExchange exchange = nextExchange();
      server.drain();
      exchange.respondJson(200, "{}");
      other.readAll();
      assertThat(server.isIdle()).isFalse();
      late.send(REQUEST);
      busy.countDown();
      nextExchange().respondJson(200, "{}");
      assertThat(late.readAll().toLowerCase(Locale.ROOT)).contains("connection: close");
    } finally {
      busy.countDown();
    }
  }

  // Guards against requests that were read and are dropped without an answer, because the answer
  // before them closes the connection of a draining server.
  @Test
  void requestsThatWereReadAreAnswered() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send(REQUEST + REQUEST + REQUEST);
      HttpExchange first = nextExchange();
      server.drain();
      first.respondJson(200, "{}");
      nextExchange().respondJson(200, "{}");
      HttpExchange third = nextExchange();
      assertThat(third).isNotNull();
      third.respondJson(200, "{}");
      assertThat(caller.readAll().split("HTTP/1.1 200", -1)).hasLength(4);
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
