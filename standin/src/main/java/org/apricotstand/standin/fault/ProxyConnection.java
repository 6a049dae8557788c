package org.apricotstand.standin.fault;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/** One connection through a {@link FaultProxy}, with faults of its own. */
public final class ProxyConnection {

  private final Channel caller;
  private final Forwarder toUpstream = new Forwarder(this);
  private final Forwarder toCaller = new Forwarder(this);
  private Channel upstream;

  ProxyConnection(Channel caller) {
    this.caller = caller;
  }

  /** Replaces the fault of one direction. */
  public void set(Direction direction, Fault fault) {
    onLoop(() -> forwarder(direction).set(fault));
  }

  /** Resets both sides of the connection. */
  public void cut() {
    onLoop(
        () -> {
          reset(caller);
          if (upstream != null) {
            reset(upstream);
          }
          toUpstream.release();
          toCaller.release();
        });
  }

  /** Returns the bytes that were passed on in one direction. */
  public long passedBytes(Direction direction) {
    return forwarder(direction).passedBytes();
  }

  Forwarder forwarder(Direction direction) {
    return direction == Direction.TO_UPSTREAM ? toUpstream : toCaller;
  }

  void connected(Channel opened) {
    if (!caller.isOpen()) {
      reset(opened);
      return;
    }
    upstream = opened;
    toUpstream.connect(caller, upstream);
    toCaller.connect(upstream, caller);
    caller.pipeline().addLast(toUpstream);
    upstream.pipeline().addLast(toCaller);
    toUpstream.drain();
    toCaller.drain();
  }

  void writabilityChanged() {
    toUpstream.drain();
    toCaller.drain();
  }

  void directionEnded() {
    if (toUpstream.hasPassedEnd() && toCaller.hasPassedEnd()) {
      caller.close();
      upstream.close();
    }
  }

  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  private void onLoop(Runnable task) {
    if (caller.eventLoop().inEventLoop()) {
      task.run();
    } else {
      caller.eventLoop().execute(task);
    }
  }
}
