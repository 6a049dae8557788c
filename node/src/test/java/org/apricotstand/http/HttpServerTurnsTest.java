package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.apricotstand.input.TurnMeter;
import org.apricotstand.observe.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Counts the work for a request between two turns of the event loop to other events. */
class HttpServerTurnsTest {

  /** Memory that is accounted for a chunk of one byte. */
  private static final int CHUNK_MEMORY_BYTES = 513;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Metrics metrics = new Metrics();
  private final TurnMeter meter = new TurnMeter(group.next(), this::heldBytes);
  private HttpServer server;

  @BeforeEach
  void start() {
    server =
        HttpServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULT,
            HttpMemory.ofBytes(16_777_216, metrics),
            exchange -> meter.onBody(exchange.request().body().length));
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully();
  }

  private long heldBytes() {
    try {
      return new ObjectMapper().readTree(metrics.json()).path("memory.held.body").asLong();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // Guards against a body in chunks of one byte that takes an event loop: all chunks of up to
  // sixteen reads were handled before any other connection.
  @Test
  void aTurnHandlesABoundedPartOfABody() throws Exception {
    assertThat(meter.send(server.address())).isEqualTo(TurnMeter.CHUNKS);
    assertThat(meter.mostGrowth())
        .isAtMost((long) TurnMeter.MAX_CHUNKS_IN_TURN * CHUNK_MEMORY_BYTES);
  }
}
