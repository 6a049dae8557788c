package org.apricotstand.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.EventLog;

/**
 * Sends the {@link PeerMessage.Hello} of this instance, checks that of the other side and passes
 * the messages after it to the {@link PeerNetwork}.
 */
final class PeerHandler extends SimpleChannelInboundHandler<PeerMessage> {

  private static final EventLog LOG = EventLog.of(PeerHandler.class);

  private final PeerMessage.Hello ownHello;
  private final PeerNetwork network;
  private InstanceId peer;

  PeerHandler(PeerMessage.Hello ownHello, PeerNetwork network) {
    this.ownHello = ownHello;
    this.network = network;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    context.writeAndFlush(ownHello);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    if (peer != null) {
      network.dispatch(peer, message);
    } else if (message instanceof PeerMessage.Hello hello
        && hello.protocolVersion() == PeerMessage.PROTOCOL_VERSION) {
      if (network.acceptHello(context.channel(), hello)) {
        peer = new InstanceId(hello.instance());
      }
    } else {
      LOG.warn("peer_refused", "remote", context.channel().remoteAddress(), "first", message);
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.warn(
        "peer_link_failed",
        "peer",
        peer == null ? context.channel().remoteAddress() : peer,
        "cause",
        cause);
    context.close();
  }
}
