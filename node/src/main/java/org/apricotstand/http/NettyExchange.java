package org.apricotstand.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;

/** An exchange on a Netty channel. Its state is accessed on the event loop of the channel only. */
final class NettyExchange implements HttpExchange {

  /** Called on the event loop after the last write of an answer. */
  interface FinishListener {
    void onAnswerFinished(ChannelHandlerContext context, boolean keepAlive);

    /** Called after a write was flushed, and again when all of it has left. */
    void onOutputChanged();
  }

  private enum State {
    NOT_STARTED,
    STREAMING,
    DONE
  }

  private final ChannelHandlerContext context;
  private final FinishListener finishListener;
  private final HttpMemory.Account requestMemory;
  private final HttpRequest request;
  private final boolean http10;
  private boolean keepAlive;
  private State state = State.NOT_STARTED;
  private HttpResponse heldHead;
  private ByteArrayOutputStream heldBody;
  private Runnable writableListener;
  private Runnable closeListener;
  private boolean connectionClosed;

  NettyExchange(
      ChannelHandlerContext context,
      FullHttpRequest request,
      HttpMemory.Account requestMemory,
      FinishListener finishListener) {
    this.context = context;
    this.requestMemory = requestMemory;
    this.finishListener = finishListener;
    this.request = copyOf(request, context.channel().remoteAddress());
    this.http10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    this.keepAlive = HttpUtil.isKeepAlive(request);
  }

  private static HttpRequest copyOf(FullHttpRequest request, SocketAddress remote) {
    String uri = request.uri();
    int queryMark = uri.indexOf('?');
    String path = queryMark < 0 ? uri : uri.substring(0, queryMark);
    String query = queryMark < 0 ? "" : uri.substring(queryMark + 1);
    String address =
        remote instanceof InetSocketAddress inet ? inet.getAddress().getHostAddress() : "unknown";
    return new HttpRequest(
        request.method().name(),
        path,
        query,
        request.headers().copy(),
        ByteBufUtil.getBytes(request.content()),
        address);
  }

  @Override
  public HttpRequest request() {
    return request;
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    runOnEventLoop(
        () -> {
          requestMemory.close();
          if (state != State.NOT_STARTED) {
            return;
          }
          DefaultFullHttpResponse response =
              new DefaultFullHttpResponse(
                  HttpVersion.HTTP_1_1,
                  HttpResponseStatus.valueOf(status),
                  Unpooled.wrappedBuffer(body));
          headers.forEach(response.headers()::set);
          HttpUtil.setContentLength(response, body.length);
          setConnectionHeader(response);
          finish(send(response));
        });
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    runOnEventLoop(
        () -> {
          if (state != State.NOT_STARTED) {
            return;
          }
          state = State.STREAMING;
          HttpResponse response =
              new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
          headers.forEach(response.headers()::set);
          boolean hasLength = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
          if (http10 && !hasLength) {
            // HTTP/1.0 has no chunked bodies, and the connections of a killed process end like
            // those of a complete answer. So the body is held until its length is known.
            heldHead = response;
            heldBody = new ByteArrayOutputStream();
            return;
          }
          if (!hasLength) {
            HttpUtil.setTransferEncodingChunked(response, true);
          }
          setConnectionHeader(response);
          context.writeAndFlush(response);
        });
  }

  /** Returns the bytes of a body that are held until its length is known. */
  long heldBytes() {
    return heldBody == null ? 0 : heldBody.size();
  }

  @Override
  public void write(byte[] part) {
    runOnEventLoop(
        () -> {
          if (state == State.STREAMING && heldHead != null) {
            heldBody.writeBytes(part);
            finishListener.onOutputChanged();
          } else if (state == State.STREAMING) {
            ByteBuf content = Unpooled.wrappedBuffer(part);
            send(new DefaultHttpContent(content));
          }
        });
  }

  @Override
  public void end() {
    runOnEventLoop(
        () -> {
          requestMemory.close();
          if (state == State.STREAMING && heldHead != null) {
            finish(send(takeHeldAnswer()));
          } else if (state == State.STREAMING) {
            finish(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
          }
        });
  }

  private FullHttpResponse takeHeldAnswer() {
    ByteBuf body = Unpooled.wrappedBuffer(heldBody.toByteArray());
    heldBody = null;
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            heldHead.protocolVersion(),
            heldHead.status(),
            body,
            heldHead.headers(),
            EmptyHttpHeaders.INSTANCE);
    HttpUtil.setContentLength(answer, body.readableBytes());
    setConnectionHeader(answer);
    return answer;
  }

  @Override
  public void abort() {
    runOnEventLoop(
        () -> {
          requestMemory.close();
          if (state == State.DONE) {
            return;
          }
          state = State.DONE;
          // With SO_LINGER 0 the close sends a reset. A normal close would look like the end of a
          // body without a length.
          context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
          context.close();
        });
  }

  /**
   * Ends the exchange of a handler that threw: answers unless an answer was begun, which is aborted
   * then. The request may have run.
   */
  void fail() {
    if (state == State.NOT_STARTED) {
      respondJson(
          HttpResponseStatus.BAD_GATEWAY.code(),
          "{\"error\":{\"code\":\"internal_error\",\"outcome\":\"unknown\"}}");
    } else {
      abort();
    }
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public void setWritableListener(Runnable listener) {
    runOnEventLoop(() -> writableListener = listener);
  }

  @Override
  public void setCloseListener(Runnable listener) {
    runOnEventLoop(
        () -> {
          closeListener = listener;
          if (connectionClosed) {
            requestMemory.close();
            listener.run();
          }
        });
  }

  void onChannelWritable() {
    if (writableListener != null) {
      writableListener.run();
    }
  }

  void onConnectionClosed() {
    connectionClosed = true;
    boolean unfinished = state != State.DONE;
    state = State.DONE;
    if (closeListener != null) {
      // The listener cancels the request. Without one, it is held until its answer.
      requestMemory.close();
      if (unfinished) {
        closeListener.run();
      }
    }
  }

  private void setConnectionHeader(HttpResponse response) {
    if (http10 && keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
    } else if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
  }

  private ChannelFuture send(Object message) {
    ChannelFuture write = context.writeAndFlush(message);
    finishListener.onOutputChanged();
    if (!write.isDone()) {
      // The buffer of the channel still counts a write while it notifies the listeners.
      write.addListener(done -> context.executor().execute(finishListener::onOutputChanged));
    }
    return write;
  }

  private void finish(ChannelFuture lastWrite) {
    state = State.DONE;
    lastWrite.addListener(
        (ChannelFutureListener)
            done -> finishListener.onAnswerFinished(context, keepAlive && done.isSuccess()));
  }

  private void runOnEventLoop(Runnable task) {
    if (context.executor().inEventLoop()) {
      task.run();
    } else {
      context.executor().execute(task);
    }
  }
}
