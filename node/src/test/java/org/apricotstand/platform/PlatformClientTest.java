package org.apricotstand.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.model.Result;
import org.apricotstand.platform.TableService.Transaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that never complete because their answer cannot be decoded. */
class PlatformClientTest {

  private static final long TIMEOUT_MS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group);
  private final HttpServer server =
      HttpServer.start(
          group,
          new InetSocketAddress("127.0.0.1", 0),
          HttpLimits.DEFAULT,
          exchange -> exchange.respondJson(200, "<html>"));
  private final PlatformClient platform =
      new PlatformClient(http, "http://127.0.0.1:" + server.address().getPort());

  @AfterEach
  void stop() {
    server.close();
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void unreadableAnswerToAWriteLeavesItsOutcomeUnknown() {
    assertUnknown(platform.commit(new Transaction(List.of(), List.of()), deadlineMs()).join());
  }

  @Test
  void unreadableAnswerToAReadIsAFailure() {
    assertUnknown(platform.read("leases", "entry-1", deadlineMs()).join());
    assertUnknown(platform.scan("leases", "", deadlineMs()).join());
    assertUnknown(platform.list(deadlineMs()).join());
  }

  private static <T> void assertUnknown(Result<T> result) {
    assertThat(result).isInstanceOf(Result.Failed.class);
    assertThat(((Result.Failed<T>) result).failure().code())
        .isEqualTo(TableService.OUTCOME_UNKNOWN);
  }

  private static long deadlineMs() {
    return ControlThread.nowMs() + TIMEOUT_MS;
  }
}
