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
  private static final long WAIT_S = 20;
  private static final int READ_TIMEOUT_MS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ControlThread control = new ControlThread();
  private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final PeerNetwork a = network(A, PeerMessage.PROTOCOL_VERSION);
  private final PeerNetwork b = network(B, PeerMessage.PROTOCOL_VERSION);
  private final Recorder atA = new Recorder();
  private final Recorder atB = new Recorder();

  private static final class Recorder implements PeerListener {
    private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<InstanceId> closed = new LinkedBlockingQueue<>();

    @Override
    public void onMessage(InstanceId from, PeerMessage message) {
      messages.add(message);
    }

    @Override
    public void onLinkClosed(InstanceId peer) {
      closed.add(peer);
    }

    PeerMessage next() throws InterruptedException {
      return messages.poll(WAIT_S, TimeUnit.SECONDS);
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
    a.listen(atA);
    b.listen(atB);
    a.start();
    b.start();
    addresses.put(A, a.address());
    addresses.put(B, b.address());
  }

  @AfterEach
  void stop() {
    a.stop();
    b.stop();
    control.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against messages lost while the link opens, and against a second link for answers. */
  @Test
  void answersOverTheLinkThatTheOtherSideOpened() throws Exception {
    a.send(B, new PeerMessage.RevisionWanted(1));
    a.send(B, new PeerMessage.RevisionWanted(2));
    assertThat(atB.next()).isEqualTo(new PeerMessage.RevisionWanted(1));
    assertThat(atB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
    addresses.remove(A);
    assertThat(b.send(A, new PeerMessage.RevisionWanted(3))).isTrue();
    assertThat(atA.next()).isEqualTo(new PeerMessage.RevisionWanted(3));
  }

  /** Guards against messages of a process that a newer one of the same name has replaced. */
  @Test
  void replacedProcessIsCutOff() throws Exception {
    PeerNetwork newerA = network(A, PeerMessage.PROTOCOL_VERSION, 2);
    newerA.start();
    try {
      a.send(B, new PeerMessage.RevisionWanted(1));
      assertThat(atB.next()).isEqualTo(new PeerMessage.RevisionWanted(1));
      newerA.send(B, new PeerMessage.RevisionWanted(2));
      assertThat(atB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
      assertThat(atA.closed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(B);
      a.send(B, new PeerMessage.RevisionWanted(3));
      assertThat(atA.closed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(B);
      newerA.send(B, new PeerMessage.RevisionWanted(4));
      assertThat(atB.next()).isEqualTo(new PeerMessage.RevisionWanted(4));
    } finally {
      newerA.stop();
    }
  }

  /** Guards against one malformed frame that takes down other links or the process. */
  @Test
  void malformedFrameClosesItsOwnLinkOnly() throws Exception {
    a.send(B, new PeerMessage.RevisionWanted(1));
    atB.next();
    try (Socket intruder = connectTo(b)) {
      byte[] garbage = "not a message".getBytes(StandardCharsets.UTF_8);
      DataOutputStream out = new DataOutputStream(intruder.getOutputStream());
      out.writeInt(garbage.length);
      out.write(garbage);
      intruder.getInputStream().readAllBytes();
    }
    a.send(B, new PeerMessage.RevisionWanted(2));
    assertThat(atB.next()).isEqualTo(new PeerMessage.RevisionWanted(2));
  }

  /** Guards against a frame whose length would exhaust the memory. */
  @Test
  void oversizedFrameClosesItsLink() throws Exception {
    try (Socket intruder = connectTo(b)) {
      new DataOutputStream(intruder.getOutputStream()).writeInt(PeerNetwork.MAX_FRAME_BYTES + 1);
      assertThat(intruder.getInputStream().readAllBytes()).isNotNull();
    }
  }

  /** Guards against instances of another protocol version being understood wrongly. */
  @Test
  void refusesOtherProtocolVersion() throws Exception {
    InstanceId other = new InstanceId("c");
    PeerNetwork c = network(other, PeerMessage.PROTOCOL_VERSION + 1);
    Recorder atC = new Recorder();
    c.listen(atC);
    c.start();
    try {
      c.send(B, new PeerMessage.RevisionWanted(1));
      assertThat(atC.closed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(B);
      assertThat(atB.messages).isEmpty();
    } finally {
      c.stop();
    }
  }

  /** Guards against requests that wait for ever on a peer that cannot be reached. */
  @Test
  void reportsPeerThatCannotBeReached() throws Exception {
    InstanceId gone = new InstanceId("gone");
    InetSocketAddress unused = b.address();
    b.stop();
    addresses.put(gone, unused);
    a.send(gone, new PeerMessage.RevisionWanted(1));
    assertThat(atA.closed.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(gone);
  }

  private static Socket connectTo(PeerNetwork network) throws IOException {
    Socket socket = new Socket(network.address().getAddress(), network.address().getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }
}
