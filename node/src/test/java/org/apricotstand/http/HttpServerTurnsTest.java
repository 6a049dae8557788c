package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotstand.observe.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Counts the work for a request between two turns of the event loop to other events. */
class HttpServerTurnsTest {

  private static final int TIMEOUT_S = 30;
  private static final int CHUNKS = 200_000;

  /** Bytes that a caller has sent before the event loop turns to its connection. */
  private static final int WAITING_BYTES = 262_144;

  /** Memory that is accounted for a chunk of one byte. */
  private static final int CHUNK_MEMORY_BYTES = 513;

  /**
   * Chunks of one byte in one turn: those that use up the share of a caller and those of the part
   * that was passed on last, once for what was read and once for what was held back.
   */
  private static final int MAX_PARTS = 2 * (16_384 / 128 + 1_024 / 6 + 1);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Metrics metrics = new Metrics();
  private final CompletableFuture<Integer> bodyBytes = new CompletableFuture<>();
  private final CountDownLatch waiting = new CountDownLatch(1);
  private HttpServer server;
  private long lastBytes;
  private long mostBytesInTurn;

  @BeforeEach
  void start() {
    server =
        HttpServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULT,
            HttpMemory.ofBytes(16_777_216, metrics),
            exchange -> bodyBytes.complete(exchange.request().body().length));
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully();
  }

  private void countTurn() {
    long bytes = heldBytes();
    mostBytesInTurn = Math.max(mostBytesInTurn, bytes - lastBytes);
    lastBytes = bytes;
    if (!bodyBytes.isDone()) {
      // Scheduled tasks run once in each iteration of the loop, behind the reads.
      loop.schedule(this::countTurn, 0, TimeUnit.NANOSECONDS);
    }
  }

  private long heldBytes() {
    try {
      return new ObjectMapper().readTree(metrics.json()).path("memory.held.body").asLong();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void send(Socket socket) {
    try {
      OutputStream out = socket.getOutputStream();
      String head = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      byte[] chunks = "1\r\nx\r\n".repeat(CHUNKS).getBytes(StandardCharsets.US_ASCII);
      out.write(chunks, 0, WAITING_BYTES);
      waiting.countDown();
      out.write(chunks, WAITING_BYTES, chunks.length - WAITING_BYTES);
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void awaitBytes() {
    try {
      waiting.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Guards against a body in chunks of one byte that takes an event loop: all chunks of up to
  // sixteen reads were handled before any other connection.
  @Test
  void aTurnHandlesABoundedPartOfABody() throws Exception {
    loop.execute(this::awaitBytes);
    loop.execute(this::countTurn);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
      Thread.ofPlatform().daemon().start(() -> send(socket));
      assertThat(bodyBytes.get(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(CHUNKS);
    }
    assertThat(mostBytesInTurn).isAtMost((long) MAX_PARTS * CHUNK_MEMORY_BYTES);
  }
}
