package org.apricotstand.input;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotstand.limit.TurnShares;
import org.junit.jupiter.api.Test;

class InputGateTest {

  private static final int SOURCE_WORK = 16_384;
  private static final int TURN_WORK = 32_768;
  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String CHUNK = "1\r\nx\r\n";

  /** Messages that fit into the share of a source, and those of the part that uses it up. */
  private static final int MAX_MESSAGES =
      SOURCE_WORK / TurnShares.MESSAGE_WORK + InputGate.MIN_PART_BYTES / CHUNK.length() + 1;

  private final Deque<Runnable> turnTasks = new ArrayDeque<>();
  private final InputTurns turns =
      new InputTurns(new TurnShares(TURN_WORK, SOURCE_WORK), turnTasks::add);

  /** Counts what a connection hands to its last handler. */
  private static final class Counter extends ChannelInboundHandlerAdapter {
    private int messages;
    private int readsCompleted;
    private boolean isClosed;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      messages++;
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      readsCompleted++;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      isClosed = true;
    }
  }

  /** A connection whose answer is decoded behind a gate. */
  private final class Connection {
    private final InputGate gate = new InputGate(turns);
    private final Counter counter = new Counter();
    private final EmbeddedChannel channel =
        new EmbeddedChannel(gate, new HttpResponseDecoder(), gate.meter(), counter);

    void receive(String text) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }
  }

  private void runTurn() {
    turnTasks.remove().run();
  }

  // Guards against a turn of the event loop that lasts as long as an answer in tiny chunks goes on:
  // a read of 64 KB held 10,900 of them, and sixteen reads were handled before other connections.
  @Test
  void aTurnHandlesABoundedNumberOfTinyChunks() {
    Connection connection = new Connection();
    connection.receive(HEAD + CHUNK.repeat(10_000));
    assertThat(connection.counter.messages).isAtMost(MAX_MESSAGES);
    assertThat(connection.channel.config().isAutoRead()).isFalse();
    int before = connection.counter.messages;
    while (!turnTasks.isEmpty()) {
      runTurn();
      assertThat(connection.counter.messages - before).isAtMost(MAX_MESSAGES);
      before = connection.counter.messages;
    }
    assertThat(connection.counter.messages).isEqualTo(10_001);
    assertThat(connection.channel.config().isAutoRead()).isTrue();
  }

  // Guards against output that waits for the end of the read while its input is held back.
  @Test
  void eachTurnEndsARead() {
    Connection connection = new Connection();
    connection.receive(HEAD + CHUNK.repeat(1_000));
    int before = connection.counter.readsCompleted;
    assertThat(before).isAtLeast(1);
    runTurn();
    assertThat(connection.counter.readsCompleted).isEqualTo(before + 1);
  }

  // Guards against a limit on one shape of bytes: header lines cost as much as chunks.
  @Test
  void headerLinesCountAsWork() {
    Connection connection = new Connection();
    String head = "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(100) + "content-length: 0\r\n\r\n";
    connection.receive(head.repeat(10));
    assertThat(connection.counter.messages).isLessThan(10);
    while (!turnTasks.isEmpty()) {
      runTurn();
    }
    // Each answer is a head and an end.
    assertThat(connection.counter.messages).isEqualTo(20);
  }

  // Guards against a target that gets a share for each of its connections, and against turns that
  // always go to the same one of them.
  @Test
  void connectionsOfOneSourceTakeTurns() {
    Connection first = new Connection();
    Connection second = new Connection();
    first.receive(HEAD + CHUNK.repeat(2_000));
    second.receive(HEAD + CHUNK.repeat(2_000));
    assertThat(first.counter.messages + second.counter.messages).isAtMost(MAX_MESSAGES);
    runTurn();
    runTurn();
    assertThat(second.counter.messages).isGreaterThan(0);
    while (!turnTasks.isEmpty()) {
      runTurn();
    }
    assertThat(first.counter.messages).isEqualTo(2_001);
    assertThat(second.counter.messages).isEqualTo(2_001);
  }

  // Guards against an answer whose last bytes are lost because its connection ends while they wait.
  @Test
  void heldBytesArePassedOnBeforeTheEndOfTheConnection() {
    Connection connection = new Connection();
    connection.receive(HEAD + CHUNK.repeat(1_000));
    assertThat(connection.gate.heldBytes()).isGreaterThan(0);
    connection.channel.unsafe().close(connection.channel.voidPromise());
    connection.channel.runPendingTasks();
    assertThat(connection.counter.messages).isEqualTo(1_001);
    assertThat(connection.counter.isClosed).isTrue();
  }

  // Guards against work for an answer that nobody waits for any more, and against its memory.
  @Test
  void aConnectionThatIsClosedHereDropsWhatItHolds() {
    Connection connection = new Connection();
    ByteBuf bytes = Unpooled.copiedBuffer(HEAD + CHUNK.repeat(1_000), StandardCharsets.US_ASCII);
    connection.channel.writeInbound(bytes);
    int before = connection.counter.messages;
    connection.channel.close();
    assertThat(bytes.refCnt()).isEqualTo(0);
    turnTasks.forEach(Runnable::run);
    assertThat(connection.counter.messages).isEqualTo(before);
  }

  // Guards against memory that grows with the answer: a decoder that has made no message of what it
  // got asks for more, so that a read came on top of the bytes that were held.
  @Test
  void nothingIsReadWhileBytesAreHeld() {
    AtomicInteger reads = new AtomicInteger();
    Connection connection = new Connection();
    connection
        .channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void read(ChannelHandlerContext context) {
                reads.incrementAndGet();
                context.read();
              }
            });
    connection.receive(HEAD + CHUNK.repeat(1_000));
    reads.set(0);
    connection.channel.read();
    assertThat(reads.get()).isEqualTo(0);
    while (!turnTasks.isEmpty()) {
      runTurn();
    }
    assertThat(reads.get()).isEqualTo(1);
  }

  // Guards against an answer that goes on to a caller that does not read.
  @Test
  void pausedInputIsHeldBack() {
    Connection connection = new Connection();
    connection.receive(HEAD);
    connection.gate.setReading(false);
    connection.receive(CHUNK);
    assertThat(connection.counter.messages).isEqualTo(1);
    connection.gate.setReading(true);
    runTurn();
    assertThat(connection.counter.messages).isEqualTo(2);
    assertThat(connection.channel.config().isAutoRead()).isTrue();
  }

  // Guards against a cost for sound answers: an answer in one piece waits for no turn.
  @Test
  void anAnswerInOnePieceIsHandledAtOnce() {
    Connection connection = new Connection();
    connection.receive("HTTP/1.1 200 OK\r\ncontent-length: 8000\r\n\r\n" + "x".repeat(8_000));
    assertThat(connection.gate.heldBytes()).isEqualTo(0);
    assertThat(turnTasks).isEmpty();
  }
}
