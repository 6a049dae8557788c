package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerConnectionLimitTest {

  private static final int MAX_CONNECTIONS = 2;
  private static final HttpLimits LIMITS =
      new HttpLimits(1_024, 2_048, MAX_CONNECTIONS, 60_000, 20_000);
  private static final String REQUEST = "GET /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  private static final long TEST_TIMEOUT_S = 5;

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

  // Guards against a connection that is closed although it is within the limit, because others were
  // accepted beyond the limit before its event loop had initialized it.
  @Test
  void aConnectionWithinTheLimitIsNotClosedForLaterOnes() throws Exception {
    // The listener and every second connection run on the first loop of the group.
    List<EventExecutor> loops = new ArrayList<>();
    group.forEach(loops::add);
    CountDownLatch busy = new CountDownLatch(1);
    loops.getLast().execute(() -> awaitQuietly(busy));
    try (RawConnection first = new RawConnection(server.address());
        RawConnection second = new RawConnection(server.address());
        RawConnection third = new RawConnection(server.address());
        RawConnection fourth = new RawConnection(server.address())) {
      assertThat(fourth.readAll()).isEmpty();
      busy.countDown();
      assertThat(third.readAll()).isEmpty();
      assertThat(answerOf(first)).contains("200");
      assertThat(answerOf(second)).contains("200");
    } finally {
      busy.countDown();
    }
  }

  private String answerOf(RawConnection connection) throws Exception {
    connection.send(REQUEST);
    HttpExchange exchange = exchanges.poll(TEST_TIMEOUT_S, TimeUnit.SECONDS);
    assertThat(exchange).isNotNull();
    exchange.respondJson(200, "{}");
    return connection.readAll();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
