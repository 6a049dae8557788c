package org.apricotstand.http;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLEngine;
import org.apricotstand.control.ControlThread;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;

/**
 * HTTP client that sends each call exactly once: no retry, no redirect.
 *
 * <pre>{@code
 * caller.send(HttpCall.get(url, deadlineMs)).thenAccept(answer -> ...);
 * }</pre>
 */
public final class HttpCaller implements AutoCloseable {

  private static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(2_000);
  // Shorter than the idle time after which servers close a connection, so that a pooled connection
  // is rarely one that the other side has just closed.
  private static final Duration POOLED_IDLE = Duration.ofMillis(10_000);

  private final AsyncHttpClient client;

  /** Creates a client on the given event loops. */
  public HttpCaller(EventLoopGroup group) {
    DefaultAsyncHttpClientConfig config =
        new DefaultAsyncHttpClientConfig.Builder()
            .setEventLoopGroup(group)
            .setUseNativeTransport(false)
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setEnableAutomaticDecompression(false)
            .setCompressionEnforced(false)
            .setConnectTimeout(CONNECT_TIMEOUT)
            .setReadTimeout(Duration.ofMillis(-1))
            .setPooledConnectionIdleTimeout(POOLED_IDLE)
            .setCookieStore(null)
            .setSslEngineFactory(HttpCaller::refuseTls)
            .build();
    this.client = new DefaultAsyncHttpClient(config);
  }

  /**
   * All calls are plain HTTP inside the network. Without a factory the library loads a TLS provider
   * and all trusted certificates at start.
   */
  private static SSLEngine refuseTls(AsyncHttpClientConfig config, String host, int port) {
    throw new UnsupportedOperationException("TLS is not supported: " + host + ":" + port);
  }

  /** Sends a call and reports the answer in parts. */
  public void stream(HttpCall call, ReplyListener listener) {
    long remainingMs = call.deadlineMs() - ControlThread.nowMs();
    if (remainingMs <= 0) {
      listener.onFailure(new CallFailure(false, CallFailure.TIMEOUT, "the deadline had passed"));
      return;
    }
    StreamHandler handler = new StreamHandler(listener);
    try {
      client.executeRequest(toRequest(call, remainingMs), handler);
    } catch (RuntimeException e) {
      handler.onThrowable(e);
    }
  }

  /** Sends a call and collects the whole answer; the future fails only with a CallException. */
  public CompletableFuture<HttpReply> send(HttpCall call) {
    return send(call, MAX_REPLY_BYTES);
  }

  /**
   * Sends a call and collects the whole answer; the future fails only with a CallException.
   *
   * @param maxReplyBytes largest body; beyond it the call fails as answer_too_large
   */
  public CompletableFuture<HttpReply> send(HttpCall call, int maxReplyBytes) {
    Collector collector = new Collector(maxReplyBytes);
    stream(call, collector);
    return collector.future;
  }

  private static Request toRequest(HttpCall call, long remainingMs) {
    RequestBuilder builder =
        new RequestBuilder(call.method())
            .setUrl(call.url())
            .setRequestTimeout(Duration.ofMillis(remainingMs));
    call.headers().forEach(builder::setHeader);
    if (!call.reuseConnection()) {
      builder.setChannelPoolPartitioning(new FreshPartition());
      builder.setHeader("connection", "close");
    }
    if (call.body().length > 0) {
      builder.setBody(call.body());
    }
    return builder.build();
  }

  /** Partition key that equals no other, so that no pooled connection matches. */
  private static final class FreshPartition
      implements org.asynchttpclient.channel.ChannelPoolPartitioning {
    @Override
    public Object getPartitionKey(
        org.asynchttpclient.uri.Uri uri,
        String virtualHost,
        org.asynchttpclient.proxy.ProxyServer proxyServer) {
      return this;
    }
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Failure of {@link #send}. */
  public static final class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient CallFailure failure;

    CallException(CallFailure failure) {
      super(failure.code() + ": " + failure.detail());
      this.failure = failure;
    }

    /** Returns what failed. */
    public CallFailure failure() {
      return failure;
    }
  }

  private static final class Collector implements ReplyListener {
    private final CompletableFuture<HttpReply> future = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final int maxReplyBytes;
    private int status;
    private HttpHeaders headers;
    private ReplyControl control;

    Collector(int maxReplyBytes) {
      this.maxReplyBytes = maxReplyBytes;
    }

    @Override
    public void onHead(int status, HttpHeaders headers, ReplyControl control) {
      this.status = status;
      this.headers = headers;
      this.control = control;
    }

    @Override
    public void onPart(byte[] part) {
      if (body.size() + part.length > maxReplyBytes) {
        onFailure(new CallFailure(true, "answer_too_large", "over " + maxReplyBytes + " bytes"));
        control.cancel();
        return;
      }
      body.writeBytes(part);
    }

    @Override
    public void onEnd() {
      future.complete(new HttpReply(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(CallFailure failure) {
      future.completeExceptionally(new CallException(failure));
    }
  }
}
