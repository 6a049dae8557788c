package org.apricotstand.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.apricotstand.input.InputGate;

/** Creates server bootstraps with the socket options that all HTTP servers share. */
public final class ServerBootstraps {

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int LOW_WATER_BYTES = 32 * 1024;
  private static final int HIGH_WATER_BYTES = 128 * 1024;

  private ServerBootstraps() {}

  /** Returns a bootstrap without a child handler and an address; the calling code adds both. */
  public static ServerBootstrap create(EventLoopGroup group) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, InputGate.READ_BUFFERS)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
  }
}
