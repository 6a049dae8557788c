package org.apricotstand.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Queue;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.InstanceId;

/** A link to one peer. Queues the messages that are sent before the connection is open. */
final class PeerLink {

  private static final int MAX_PENDING_MESSAGES = 1_024;

  private final InstanceId peer;
  private final Queue<Object> pendingMessages = new ArrayDeque<>();
  private Channel channel;
  private boolean closed;
  private volatile long lastUsedMs = ControlThread.nowMs();

  PeerLink(InstanceId peer) {
    this.peer = peer;
  }

  /** Sets the open channel and sends the queued messages. */
  synchronized void attach(Channel opened) {
    channel = opened;
    while (!pendingMessages.isEmpty()) {
      channel.write(pendingMessages.poll());
    }
    channel.flush();
  }

  /** Returns the time of the last message other than a heartbeat, in either direction. */
  long lastUsedMs() {
    return lastUsedMs;
  }

  /** Records that the link carried a message other than a heartbeat. */
  void recordUse() {
    lastUsedMs = ControlThread.nowMs();
  }

  /**
   * Writes a message, or queues it while the connection opens; {@link #flush} sends what was
   * written. The message is dropped when {@value #MAX_PENDING_MESSAGES} messages are queued or the
   * link was closed before it opened.
   */
  void send(PeerMessage message) {
    if (!(message instanceof PeerMessage.Heartbeat)) {
      recordUse();
    }
    write(message);
  }

  /** Writes a message that is already encoded, under the same conditions. */
  void sendEncoded(byte[] message) {
    recordUse();
    write(Unpooled.wrappedBuffer(message));
  }

  private synchronized void write(Object message) {
    if (channel != null) {
      channel.write(message);
    } else if (!closed && pendingMessages.size() < MAX_PENDING_MESSAGES) {
      pendingMessages.add(message);
    }
  }

  /** Passes what was written to the network. */
  synchronized void flush() {
    if (channel != null) {
      channel.flush();
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
    pendingMessages.clear();
    if (channel != null) {
      channel.flush();
      channel.close();
    }
  }

  @Override
  public String toString() {
    return "link to " + peer;
  }
}
