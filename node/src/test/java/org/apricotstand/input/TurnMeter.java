package org.apricotstand.input;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Sends a server a body in chunks of one byte, and measures by how much a figure grows at most in a
 * turn of the server's event loop.
 */
public final class TurnMeter {

  /** Chunks of one byte in the body. */
  public static final int CHUNKS = 200_000;

  /**
   * Chunks in one turn: those that use up the share of a caller and those of the part that was
   * passed on last, once for what was read and once for what was held back.
   */
  public static final int MAX_CHUNKS_IN_TURN = 2 * (16_384 / 128 + 1_024 / 6 + 1);

  /** Bytes that have arrived before the event loop turns to the connection. */
  private static final int WAITING_BYTES = 262_144;

  private static final int TIMEOUT_S = 30;

  private final EventLoop loop;
  private final LongSupplier figure;
  private final CountDownLatch waiting = new CountDownLatch(1);
  private final CompletableFuture<Integer> bodyBytes = new CompletableFuture<>();
  private long last;
  private long mostGrowth;

  /**
   * Creates a meter.
   *
   * @param loop the only event loop of the server
   * @param figure is read on the loop, once a turn
   */
  public TurnMeter(EventLoop loop, LongSupplier figure) {
    this.loop = loop;
    this.figure = figure;
  }

  /** Records that the server has received the whole body. */
  public void onBody(int bytes) {
    bodyBytes.complete(bytes);
  }

  /** Sends the body and returns its length as the server received it. */
  public int send(InetSocketAddress server) throws Exception {
    loop.execute(this::awaitBytes);
    loop.execute(this::measure);
    try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
      Thread.ofPlatform().daemon().start(() -> write(socket));
      return bodyBytes.get(TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /** Returns by how much the figure grew at most in a turn. */
  public long mostGrowth() {
    return mostGrowth;
  }

  private void awaitBytes() {
    try {
      waiting.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void measure() {
    long now = figure.getAsLong();
    mostGrowth = Math.max(mostGrowth, now - last);
    last = now;
    if (!bodyBytes.isDone()) {
      // Scheduled tasks run once in each iteration of the loop, behind the reads.
      loop.schedule(this::measure, 0, TimeUnit.NANOSECONDS);
    }
  }

  private void write(Socket socket) {
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
}
