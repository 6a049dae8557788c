package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeoutException;
import org.apricotstand.input.InputGate;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;

/** Passes the events of one AsyncHttpClient call to a {@link ReplyListener}. */
final class ReplyListenerAdapter implements AsyncHandler<Void> {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final ReplyListener listener;
  private final Runnable timeoutHandler;
  private volatile Channel channel;
  private volatile boolean maybeSent;
  private volatile boolean isHead;
  private int status;
  private boolean headPassed;
  private boolean endsWithConnection;
  private boolean empty = true;
  private boolean finished;

  /**
   * Creates an adapter for one call.
   *
   * @param timeoutHandler runs before the listener is told that the call got no answer in time
   */
  ReplyListenerAdapter(ReplyListener listener, Runnable timeoutHandler) {
    this.listener = listener;
    this.timeoutHandler = timeoutHandler;
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
    isHead = HttpMethod.HEAD.equals(request.getHttpRequest().method());
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    passHead(headers);
    return State.CONTINUE;
  }

  private void passHead(HttpHeaders headers) {
    headPassed = true;
    endsWithConnection = !isHead && !hasLength(headers);
    listener.onHead(status, headers, new ChannelControl(channel));
  }

  /** Passes a head without headers, which the HTTP library does not report. */
  private void passMissingHead() {
    if (!headPassed) {
      passHead(EmptyHttpHeaders.INSTANCE);
    }
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    passMissingHead();
    if (part.length() > 0) {
      empty = false;
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
    if (cause instanceof TimeoutException) {
      timeoutHandler.run();
    }
    listener.onFailure(
        new CallFailure(maybeSent, codeOf(cause), String.valueOf(cause.getMessage())));
  }

  @Override
  public Void onCompleted() {
    if (finished) {
      return null;
    }
    finished = true;
    passMissingHead();
    if (isBrokenOff()) {
      listener.onFailure(
          new CallFailure(true, CallFailure.CONNECTION_LOST, "the connection ended the answer"));
    } else {
      listener.onEnd();
    }
    return null;
  }

  /** Returns whether the head tells where the body ends; if not, it ends with the connection. */
  private boolean hasLength(HttpHeaders headers) {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }

  /**
   * Returns whether a body that ended with its connection is incomplete: the connection was reset,
   * or a success has no byte. A server that has nothing to send says so by its length.
   */
  private boolean isBrokenOff() {
    boolean isSuccess = status / 100 == 2;
    return endsWithConnection && (ResetRecorder.isReset(channel) || (empty && isSuccess));
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
      setReading(false);
    }

    @Override
    public void resume() {
      setReading(true);
    }

    @Override
    public void cancel() {
      channel.config().setAutoRead(true);
      channel.close();
    }

    /** Pauses or resumes the input; the gate belongs to the event loop, unlike the callers. */
    private void setReading(boolean reading) {
      InputGate gate = channel.pipeline().get(InputGate.class);
      if (gate == null) {
        return;
      }
      if (channel.eventLoop().inEventLoop()) {
        gate.setReading(reading);
      } else {
        channel.eventLoop().execute(() -> gate.setReading(reading));
      }
    }
  }
}
