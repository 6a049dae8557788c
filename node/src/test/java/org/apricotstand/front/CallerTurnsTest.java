package org.apricotstand.front;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.apricotstand.input.TurnMeter;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.MemoryLimits;
import org.apricotstand.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Counts the work for a request between two turns of the event loop to other events. */
class CallerTurnsTest {

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final TurnMeter meter = new TurnMeter(loop, this::receivedBytes);
  private CallerServer server;

  @BeforeEach
  void start() {
    CallHandler handler =
        (request, reply) -> {
          meter.onBody(request.body().length);
          return new UnfinishedCall();
        };
    CallerLimits limits = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
    MemoryLimits memoryLimits = new MemoryLimits(16_777_216, 100);
    Metrics metrics = new Metrics();
    MemoryLimiter memory = new MemoryLimiter(memoryLimits, AnswerLimits.DEFAULT, metrics);
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = new CallerServer(loop, anyPort, () -> limits, handler, metrics, memory, 100);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    group.shutdownGracefully();
  }

  private long receivedBytes() {
    return server.callerConnections().stream().mapToLong(CallerConnection::receivedBodyBytes).sum();
  }

  // Guards against a body in chunks of one byte that takes the traffic thread: all chunks of up to
  // sixteen reads were handled before any other connection.
  @Test
  void aTurnHandlesABoundedPartOfABody() throws Exception {
    assertThat(meter.send(server.address())).isEqualTo(TurnMeter.CHUNKS);
    assertThat(meter.mostGrowth()).isAtMost(TurnMeter.MAX_CHUNKS_IN_TURN);
  }
}
