package org.apricotstand.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

class TargetSocketsTest {

  private final TargetSockets sockets = new TargetSockets();

  // Guards against more descriptors than the limit: a selector keeps closed sockets until it drops
  // their keys, and a busy event loop opens others before that.
  @Test
  void aClosedSocketCountsUntilItsDescriptorIsReleased() throws IOException {
    SocketChannel socket = sockets.open("t1#1");
    try (Selector selector = Selector.open()) {
      socket.configureBlocking(false);
      socket.register(selector, SelectionKey.OP_CONNECT);
      assertThat(sockets.isFull("t1#1", 1)).isTrue();
      socket.close();
      assertThat(sockets.isFull("t1#1", 1)).isTrue();
      sockets.sweep();
      assertThat(sockets.isFull("t1#1", 1)).isTrue();
      selector.selectNow();
      assertThat(sockets.isFull("t1#1", 1)).isFalse();
    }
  }

  // Guards against a target that is refused because of the sockets of another one.
  @Test
  void eachTargetHasItsOwnLimit() throws IOException {
    try (SocketChannel first = sockets.open("t1#1");
        SocketChannel second = sockets.open("t1#1")) {
      assertThat(first.isOpen() && second.isOpen()).isTrue();
      assertThat(sockets.isFull("t1#1", 2)).isTrue();
      assertThat(sockets.isFull("t1#1", 3)).isFalse();
      assertThat(sockets.isFull("t2#1", 1)).isFalse();
    }
  }

  // Guards against a place that stays taken after its socket has been replaced by another one.
  @Test
  void aForgottenSocketDoesNotCount() throws IOException {
    try (SocketChannel socket = sockets.open("t1#1")) {
      sockets.forget("t1#1", socket);
      assertThat(sockets.isFull("t1#1", 1)).isFalse();
    }
  }
}
