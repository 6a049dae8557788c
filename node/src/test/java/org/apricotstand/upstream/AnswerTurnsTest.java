package org.apricotstand.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.port.TestHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Counts the work for an answer between two turns of the event loop to other events. */
class AnswerTurnsTest {

  private static final int TIMEOUT_S = 30;
  private static final int CHUNKS = 200_000;

  /**
   * Chunks of one byte in one turn: those that use up the share of a source and those of the part
   * that was passed on last, once for what was read and once for what was held back.
   */
  private static final int MAX_PARTS = 2 * (65_536 / 128 + 1_024 / 6 + 1);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final TargetConnectionPool pool =
      new TargetConnectionPool(loop, TestHeaders.NAMES, 1_024, any -> 9);

  @AfterEach
  void close() {
    group.shutdownGracefully();
  }

  /** Counts the parts of an answer by turns of the loop. */
  private final class TurnCounter implements AnswerListener {
    private final CompletableFuture<Integer> end = new CompletableFuture<>();
    private int parts;
    private int partsInTurn;
    private int mostPartsInTurn;

    private void countTurn() {
      mostPartsInTurn = Math.max(mostPartsInTurn, partsInTurn);
      partsInTurn = 0;
      if (!end.isDone()) {
        // Scheduled tasks run once in each iteration of the loop, behind the reads.
        loop.schedule(this::countTurn, 0, TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void onHead(HttpResponse head) {
      countTurn();
    }

    @Override
    public void onPart(ByteBuf part) {
      parts++;
      partsInTurn++;
    }

    @Override
    public void onReadComplete() {}

    @Override
    public void onEnd() {
      end.complete(parts);
    }

    @Override
    public void onFailure(SendFailure failure) {
      end.completeExceptionally(new IOException(failure.detail()));
    }
  }

  private static void answer(ServerSocket listener) {
    try (Socket socket = listener.accept()) {
      socket.getInputStream().read(new byte[4_096]);
      OutputStream out = socket.getOutputStream();
      String head = "HTTP/1.1 200 OK\r\nX-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.write("1\r\nx\r\n".repeat(CHUNKS).getBytes(StandardCharsets.US_ASCII));
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  // Guards against one answer in chunks of one byte that takes the traffic thread: up to sixteen
  // reads of 64 KB, over 100,000 chunks, were handled before any other connection.
  @Test
  void aTurnHandlesABoundedNumberOfParts() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread.ofPlatform().daemon().start(() -> answer(listener));
      TargetEntry target =
          new TargetEntry(
              "t1", "s", "127.0.0.1", listener.getLocalPort(), "d", 8, false, 1, Map.of());
      TargetRequest request =
          new TargetRequest("q", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
      TurnCounter counter = new TurnCounter();
      loop.execute(() -> pool.send(target, request, counter, connection -> true));
      assertThat(counter.end.get(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(CHUNKS);
      assertThat(counter.mostPartsInTurn).isAtMost(MAX_PARTS);
    }
  }
}
