package org.apricotstand.upstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Opens sockets and counts them by target. A socket counts until its descriptor is released: after
 * a close it stays open until the selector drops its key, so a busy event loop can hold as many
 * closed sockets as open ones. Belongs to the traffic thread.
 */
final class TargetSockets {

  private final Map<String, List<SocketChannel>> socketsByTarget = new HashMap<>();

  /** Opens a socket that counts for the target. */
  SocketChannel open(String target) throws IOException {
    SocketChannel socket = SocketChannel.open();
    socketsByTarget.computeIfAbsent(target, key -> new ArrayList<>()).add(socket);
    return socket;
  }

  /** Returns whether a target has at least this number of sockets. */
  boolean isFull(String target, int maxSockets) {
    List<SocketChannel> sockets = socketsByTarget.get(target);
    if (sockets == null || sockets.size() < maxSockets) {
      return false;
    }
    sockets.removeIf(TargetSockets::isReleased);
    return sockets.size() >= maxSockets;
  }

  /** Stops counting a socket, whose place another one takes. */
  void forget(String target, SocketChannel socket) {
    List<SocketChannel> sockets = socketsByTarget.get(target);
    if (sockets != null) {
      sockets.remove(socket);
    }
  }

  /** Forgets the released sockets of all targets. */
  void sweep() {
    socketsByTarget.values().forEach(sockets -> sockets.removeIf(TargetSockets::isReleased));
    socketsByTarget.values().removeIf(List::isEmpty);
  }

  private static boolean isReleased(SocketChannel socket) {
    return !socket.isOpen() && !socket.isRegistered();
  }
}
