package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;

/** Passes the events of one AsyncHttpClient call to a {@link ReplyListener}. */
final class ReplyListenerAdapter implements AsyncHandler<Void> {

  private final ReplyListener listener;
  private volatile Channel channel;
  private volatile boolean maybeSent;
  private int status;
  private boolean finished;

  ReplyListenerAdapter(ReplyListener listener) {
    this.listener = listener;
  }

  @Override
  public void onTcpConnectSuccess(InetSocketAddress remote, Channel connection) {
    channel = connection;
  }

  @Override
  public void onConnectionPooled(Channel connection) {
    channel = connection;
  }

  @Override
  public void onRequestSend(NettyRequest request) {
    maybeSent = true;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    listener.onHead(status, headers, new ChannelControl(channel));
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    if (part.length() > 0) {
      listener.onPart(part.getBodyPartBytes());
    }
    return State.CONTINUE;
  }

  @Override
  public void onThrowable(Throwable cause) {
    if (finished) {
      return;
    }
    finished = true;
    listener.onFailure(
        new CallFailure(maybeSent, codeOf(cause), String.valueOf(cause.getMessage())));
  }

  @Override
  public Void onCompleted() {
    if (!finished) {
      finished = true;
      listener.onEnd();
    }
    return null;
  }

  private String codeOf(Throwable cause) {
    return switch (cause) {
      case TimeoutException timeout -> CallFailure.TIMEOUT;
      case ConnectException refused -> CallFailure.CONNECT_FAILED;
      default -> maybeSent ? CallFailure.CONNECTION_LOST : CallFailure.CONNECT_FAILED;
    };
  }

  private record ChannelControl(Channel channel) implements ReplyControl {
    @Override
    public void suspend() {
      channel.config().setAutoRead(false);
    }

    @Override
    public void resume() {
      channel.config().setAutoRead(true);
    }

    @Override
    public void cancel() {
      channel.config().setAutoRead(true);
      channel.close();
    }
  }
}
