package org.apricotstand.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.InstanceId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {

  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final long TIMEOUT_S = 20;
  private static final int READ_TIMEOUT_MS = 20_000;

  /** Together more than the buffers of a socket hold. */
  private static final int CHUNKS = 400;

  private static final int CHUNK_BYTES = 32 * 1024;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ControlThread control = new ControlThread();
  private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final PeerNetwork networkA = network(A, PeerMessage.PROTOCOL_VERSION);
  private final PeerNetwork networkB = network(B, PeerMessage.PROTOCOL_VERSION);
  private final Recorder recorderA = new Recorder();
  private final Recorder recorderB = new Recorder();

  private static final class Recorder implements PeerListener {
    private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<InstanceId> closedLinks = new LinkedBlockingQueue<>();

    @Override
    public void onMessage(InstanceId from, PeerMessage message) {
      messages.add(message);
    }

    @Override
    public void onLinkClosed(InstanceId peer) {
      closedLinks.add(peer);
    }

    PeerMessage next() throws InterruptedException {
      return messages.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  private PeerNetwork network(InstanceId id, int protocolVersion) {
    return network(id, protocolVersion, 1);
  }

  private PeerNetwork network(InstanceId id, int protocolVersion, long incarnation) {
    return new PeerNetwork(
        group,
        new InetSocketAddress("127.0.0.1", 0),
        new PeerMessage.Hello(protocolVersion, id.value(), incarnation, "d"),
        addresses::get,
        control);
  }

  @BeforeEach
  void start() {
    networkA.addListener(recorderA);
    networkB.addListener(recorderB);
    networkA.start();
    networkB.start();
    addresses.put(A, networkA.address());
    addresses.put(B, networkB.address());
  }

  @AfterEach
  void stop() {
    networkA.stop();
    networkB.stop();
    control.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against losing messages while a link opens, and against a second link for answers. */
  @Test
  void answersOnTheLinkThatTheOtherSideOpened() throws Exception {
    networkA.send(B, new PeerMessage.RevisionWanted(1));
    networkA.send(B, new PeerMessage.RevisionWanted(2));
    assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(1));
    assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
    addresses.remove(A);
    assertThat(networkB.send(A, new PeerMessage.RevisionWanted(3))).isTrue();
    assertThat(recorderA.next()).isEqualTo(new PeerMessage.RevisionWanted(3));
  }

  /**
   * Guards against the end of an answer that a stopping owner drops, so that its caller gets 502.
   */
  @Test
  void sendsWhatIsWrittenBeforeItStops() throws Exception {
    networkA.send(B, new PeerMessage.RevisionWanted(1));
    recorderB.next();
    PeerMessage.RouteChunk chunk = new PeerMessage.RouteChunk("r", 1, new byte[CHUNK_BYTES]);
    for (int i = 0; i < CHUNKS; i++) {
      networkA.send(B, chunk);
    }
    networkA.send(B, new PeerMessage.RevisionWanted(2));
    networkA.stop();
    for (int i = 0; i < CHUNKS; i++) {
      assertThat(recorderB.next()).isInstanceOf(PeerMessage.RouteChunk.class);
    }
    assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
  }

  /** Guards against messages of a process that a newer one with the same name has replaced. */
  @Test
  void disconnectsReplacedProcess() throws Exception {
    PeerNetwork newerA = network(A, PeerMessage.PROTOCOL_VERSION, 2);
    newerA.start();
    try {
      networkA.send(B, new PeerMessage.RevisionWanted(1));
      assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(1));
      newerA.send(B, new PeerMessage.RevisionWanted(2));
      assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
      assertThat(recorderA.closedLinks.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(B);
      networkA.send(B, new PeerMessage.RevisionWanted(3));
      assertThat(recorderA.closedLinks.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(B);
      newerA.send(B, new PeerMessage.RevisionWanted(4));
      assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(4));
    } finally {
      newerA.stop();
    }
  }

  /** Guards against a malformed frame that closes other links or ends the process. */
  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    networkA.send(B, new PeerMessage.RevisionWanted(1));
    recorderB.next();
    try (Socket socket = connectTo(networkB)) {
      byte[] garbage = "not a message".getBytes(StandardCharsets.UTF_8);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(garbage.length);
      out.write(garbage);
      socket.getInputStream().readAllBytes();
    }
    networkA.send(B, new PeerMessage.RevisionWanted(2));
    assertThat(recorderB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
  }

  /** Guards against a frame length that would exhaust the memory. */
  @Test
  void oversizedFrameClosesItsConnection() throws Exception {
    try (Socket socket = connectTo(networkB)) {
      new DataOutputStream(socket.getOutputStream()).writeInt(PeerNetwork.MAX_FRAME_BYTES + 1);
      assertThat(socket.getInputStream().readAllBytes()).isNotNull();
    }
  }

  /** Guards against misreading the messages of an instance with another protocol version. */
  @Test
  void refusesOtherProtocolVersion() throws Exception {
    InstanceId other = new InstanceId("c");
    PeerNetwork otherNetwork = network(other, PeerMessage.PROTOCOL_VERSION + 1);
    Recorder otherRecorder = new Recorder();
    otherNetwork.addListener(otherRecorder);
    otherNetwork.start();
    try {
      otherNetwork.send(B, new PeerMessage.RevisionWanted(1));
      assertThat(otherRecorder.closedLinks.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(B);
      assertThat(recorderB.messages).isEmpty();
    } finally {
      otherNetwork.stop();
    }
  }

  /** Guards against requests that wait forever for a peer that cannot be reached. */
  @Test
  void reportsPeerThatCannotBeReached() throws Exception {
    InstanceId gone = new InstanceId("gone");
    InetSocketAddress unused = networkB.address();
    networkB.stop();
    addresses.put(gone, unused);
    networkA.send(gone, new PeerMessage.RevisionWanted(1));
    assertThat(recorderA.closedLinks.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(gone);
  }

  private static Socket connectTo(PeerNetwork network) throws IOException {
    Socket socket = new Socket(network.address().getAddress(), network.address().getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }
}
