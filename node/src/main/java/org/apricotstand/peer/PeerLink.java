package org.apricotstand.peer;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Queue;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.InstanceId;

/** A link to one peer; keeps the messages that are sent while the connection opens. */
final class PeerLink {

  private static final int MAX_PENDING = 1_024;

  private final InstanceId peer;
  private final Queue<PeerMessage> pending = new ArrayDeque<>();
  private Channel channel;
  private boolean closed;
  private volatile long lastUsedMs = ControlThread.nowMs();

  PeerLink(InstanceId peer) {
    this.peer = peer;
  }

  synchronized void attach(Channel opened) {
    channel = opened;
    while (!pending.isEmpty()) {
      channel.write(pending.poll());
    }
    channel.flush();
  }

  /** Returns when the link last carried anything but heartbeats. */
  long lastUsedMs() {
    return lastUsedMs;
  }

  void used() {
    lastUsedMs = ControlThread.nowMs();
  }

  synchronized void send(PeerMessage message) {
    if (!(message instanceof PeerMessage.Heartbeat)) {
      used();
    }
    if (channel != null) {
      channel.writeAndFlush(message);
    } else if (!closed && pending.size() < MAX_PENDING) {
      pending.add(message);
    }
  }

  synchronized boolean isOpen() {
    return channel != null && channel.isActive();
  }

  synchronized boolean isWritable() {
    return channel == null || channel.isWritable();
  }

  synchronized void close() {
    closed = true;
    pending.clear();
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public String toString() {
    return "link to " + peer;
  }
}
