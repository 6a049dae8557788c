package org.apricotstand.standin.fault;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/** One connection through a {@link FaultProxy}; its faults can be set separately. */
public final class ProxyConnection {

  private final Channel client;
  private final Forwarder toUpstream = new Forwarder(this);
  private final Forwarder toClient = new Forwarder(this);
  private Channel upstream;

  ProxyConnection(Channel client) {
    this.client = client;
  }

  /** Replaces the fault of one direction. */
  public void setFault(Direction direction, Fault fault) {
    runOnEventLoop(() -> forwarder(direction).setFault(fault));
  }

  /** Resets both sides of the connection. */
  public void reset() {
    runOnEventLoop(
        () -> {
          resetChannel(client);
          if (upstream != null) {
            resetChannel(upstream);
          }
          toUpstream.releaseQueuedBytes();
          toClient.releaseQueuedBytes();
        });
  }

  /** Returns the number of bytes forwarded so far in one direction. */
  public long forwardedBytes(Direction direction) {
    return forwarder(direction).forwardedBytes();
  }

  Forwarder forwarder(Direction direction) {
    return direction == Direction.TO_UPSTREAM ? toUpstream : toClient;
  }

  void onUpstreamConnected(Channel channel) {
    if (!client.isOpen()) {
      resetChannel(channel);
      return;
    }
    upstream = channel;
    toUpstream.setChannels(client, upstream);
    toClient.setChannels(upstream, client);
    client.pipeline().addLast(toUpstream);
    upstream.pipeline().addLast(toClient);
    toUpstream.forwardDueItems();
    toClient.forwardDueItems();
  }

  void onWritabilityChanged() {
    toUpstream.forwardDueItems();
    toClient.forwardDueItems();
  }

  void onDirectionEnded() {
    if (toUpstream.hasForwardedEnd() && toClient.hasForwardedEnd()) {
      client.close();
      upstream.close();
    }
  }

  /** Closes a channel with SO_LINGER 0, which makes TCP send a reset instead of a normal end. */
  private static void resetChannel(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  private void runOnEventLoop(Runnable task) {
    if (client.eventLoop().inEventLoop()) {
      task.run();
    } else {
      client.eventLoop().execute(task);
    }
  }
}
