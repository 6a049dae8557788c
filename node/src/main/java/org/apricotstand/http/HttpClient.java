package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import javax.net.ssl.SSLEngine;
import org.apricotstand.control.ControlThread;
import org.apricotstand.input.InputGate;
import org.apricotstand.input.InputTurns;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.apricotstand.limit.MemoryHolder;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.channel.ChannelPoolPartitioning;
import org.asynchttpclient.channel.DefaultKeepAliveStrategy;
import org.asynchttpclient.netty.channel.ChannelManager;

/**
 * HTTP client that sends each call at most once: it neither retries nor follows redirects.
 *
 * <pre>{@code
 * client.send(HttpCall.get(url, deadlineMs)).thenAccept(answer -> ...);
 * }</pre>
 */
public final class HttpClient implements AutoCloseable {

  private static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_HEAD_BYTES = 8_192;

  /** Some 300 short lines; a line of four bytes takes some 200 bytes of memory. */
  private static final long MAX_HEAD_MEMORY_BYTES = 65_536;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(2_000);
  // Shorter than the idle timeout of servers, so that a pooled connection is rarely one that the
  // other side has just closed.
  private static final Duration POOLED_IDLE_TIMEOUT = Duration.ofMillis(10_000);

  private final AsyncHttpClient client;
  private final HttpMemory memory;
  private final Map<EventLoop, InputTurns> turnsByLoop = new ConcurrentHashMap<>();

  /** Creates a client on the given event loops. */
  public HttpClient(EventLoopGroup group) {
    this(group, HttpMemory.unlimited());
  }

  /** Creates a client whose collected answers share a memory with others. */
  public HttpClient(EventLoopGroup group, HttpMemory memory) {
    this.memory = memory;
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
            .setPooledConnectionIdleTimeout(POOLED_IDLE_TIMEOUT)
            .setCookieStore(null)
            .setKeepAliveStrategy(new UntilRefusal())
            .setSslEngineFactory(HttpClient::refuseTls)
            .addChannelOption(ChannelOption.RECVBUF_ALLOCATOR, InputGate.READ_BUFFERS)
            .setHttpAdditionalChannelInitializer(this::addHandlers)
            .build();
    this.client = new DefaultAsyncHttpClient(config);
  }

  private void addHandlers(Channel channel) {
    InputGate gate =
        new InputGate(turnsByLoop.computeIfAbsent(channel.eventLoop(), InputTurns::of));
    channel
        .pipeline()
        .replace(
            ChannelManager.HTTP_CLIENT_CODEC,
            ChannelManager.HTTP_CLIENT_CODEC,
            new HttpClientCodec(decoderConfig(gate), false, false));
    LateAnswerGuard.addTo(channel, gate);
    channel.pipeline().addAfter(ChannelManager.HTTP_CLIENT_CODEC, null, gate.meter());
    channel.pipeline().addFirst(new ResetRecorder(), gate);
  }

  /** Returns the limits of a decoder that counts header lines by their memory. */
  private static HttpDecoderConfig decoderConfig(InputGate gate) {
    HeaderMeter meter = new HeaderMeter(MAX_HEAD_MEMORY_BYTES, gate::recordHeaderLine);
    return new HttpDecoderConfig()
        .setMaxHeaderSize(MAX_HEAD_BYTES)
        .setHeadersFactory(meter.heads())
        .setTrailersFactory(meter.droppedTrailers());
  }

  /**
   * Rejects TLS connections; all calls are plain HTTP inside the network. Without this factory the
   * library would load a TLS provider and all trusted certificates at start.
   */
  private static SSLEngine refuseTls(AsyncHttpClientConfig config, String host, int port) {
    throw new UnsupportedOperationException("TLS is not supported: " + host + ":" + port);
  }

  /** Sends a call and passes the answer to the listener in parts. */
  public void stream(HttpCall call, ReplyListener listener) {
    long remainingMs = call.deadlineMs() - ControlThread.nowMs();
    if (remainingMs <= 0) {
      listener.onFailure(new CallFailure(false, CallFailure.TIMEOUT, "the deadline had passed"));
      return;
    }
    Request request = toRequest(call, remainingMs);
    ReplyListenerAdapter handler =
        new ReplyListenerAdapter(listener, () -> closeIdleConnections(request));
    try {
      client.executeRequest(request, handler);
    } catch (RuntimeException e) {
      handler.onThrowable(e);
    }
  }

  /**
   * Closes the pooled connections that a request could have used. When one of them has gone silent
   * the others may have too, and each would cost a call its time.
   */
  private void closeIdleConnections(Request request) {
    Object partition =
        request
            .getChannelPoolPartitioning()
            .getPartitionKey(request.getUri(), request.getVirtualHost(), null);
    client.flushChannelPoolPartitions(partition::equals);
  }

  /**
   * Sends a call and collects the whole answer. The future fails only with a {@link CallException}.
   */
  public CompletableFuture<HttpReply> send(HttpCall call) {
    return send(call, MAX_REPLY_BYTES);
  }

  /**
   * Sends a call and collects the whole answer. The future fails only with a {@link CallException}.
   *
   * @param maxReplyBytes maximum size of the body; a larger one fails with {@code answer_too_large}
   */
  public CompletableFuture<HttpReply> send(HttpCall call, int maxReplyBytes) {
    ReplyCollector collector = new ReplyCollector(maxReplyBytes);
    collector.account = memory.open(collector, sourceOf(call.url()));
    stream(call, collector);
    return collector.future;
  }

  /** Returns the host and port of a URL. */
  private static String sourceOf(String url) {
    int start = url.indexOf("://") + "://".length();
    int end = url.indexOf('/', start);
    return end < 0 ? url.substring(start) : url.substring(start, end);
  }

  private static Request toRequest(HttpCall call, long remainingMs) {
    RequestBuilder builder =
        new RequestBuilder(call.method())
            .setUrl(call.url())
            .setRequestTimeout(Duration.ofMillis(remainingMs));
    call.headers().forEach(builder::setHeader);
    partitionOf(call.connectionUse()).ifPresent(builder::setChannelPoolPartitioning);
    if (call.connectionUse() == ConnectionUse.OWN) {
      builder.setHeader("connection", "close");
    }
    if (call.body().length > 0) {
      builder.setBody(call.body());
    }
    return builder.build();
  }

  private static Optional<ChannelPoolPartitioning> partitionOf(ConnectionUse use) {
    return switch (use) {
      case SHARED -> Optional.empty();
      case SHARED_UNTIL_REFUSAL -> Optional.of(UntilRefusal.PARTITION);
      case SHARED_BY_COMMANDS -> Optional.of(new CommandPartition());
      case OWN -> Optional.of(new UniquePartition());
    };
  }

  /** Pool partition of the commands to a host. */
  private static final class CommandPartition implements ChannelPoolPartitioning {

    private record Key(Object host) {}

    @Override
    public Object getPartitionKey(
        org.asynchttpclient.uri.Uri uri,
        String virtualHost,
        org.asynchttpclient.proxy.ProxyServer proxyServer) {
      return new Key(
          PerHostChannelPoolPartitioning.INSTANCE.getPartitionKey(uri, virtualHost, proxyServer));
    }
  }

  /** Pool partition of a single call: its key equals no other, so no pooled connection matches. */
  private static final class UniquePartition implements ChannelPoolPartitioning {
    @Override
    public Object getPartitionKey(
        org.asynchttpclient.uri.Uri uri,
        String virtualHost,
        org.asynchttpclient.proxy.ProxyServer proxyServer) {
      return this;
    }
  }

  /** Marks calls whose connection is not used again after a refusal, and keeps to it. */
  private static final class UntilRefusal extends DefaultKeepAliveStrategy {
    private static final ChannelPoolPartitioning PARTITION =
        ChannelPoolPartitioning.PerHostChannelPoolPartitioning.INSTANCE::getPartitionKey;
    private static final int MIN_REFUSAL_STATUS = 400;

    @Override
    public boolean keepAlive(
        InetSocketAddress remoteAddress, Request request, HttpRequest sent, HttpResponse answer) {
      boolean isRefused =
          request.getChannelPoolPartitioning() == PARTITION
              && answer.status().code() >= MIN_REFUSAL_STATUS;
      return !isRefused && super.keepAlive(remoteAddress, request, sent, answer);
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

  /** Thrown by the future of {@link #send} when there is no complete answer. */
  public static final class CallException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient CallFailure failure;

    CallException(CallFailure failure) {
      super(failure.code() + ": " + failure.detail());
      this.failure = failure;
    }

    /** Returns the cause. */
    public CallFailure failure() {
      return failure;
    }
  }

  /** Collects the parts of an answer and completes a future with the whole. */
  private static final class ReplyCollector implements ReplyListener, MemoryHolder {
    private final CompletableFuture<HttpReply> future = new CompletableFuture<>();
    private final ReplyBody body = new ReplyBody();
    private final int maxReplyBytes;
    private int status;
    private HttpHeaders headers;
    private ReplyControl control;
    private HttpMemory.Account account;

    ReplyCollector(int maxReplyBytes) {
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
        onFailure(
            new CallFailure(
                true, "answer_too_large", "the body exceeds " + maxReplyBytes + " bytes"));
        control.cancel();
        return;
      }
      body.add(part);
      account.update(Kind.ANSWER, body.size());
    }

    @Override
    public void giveUp(Kind kind, String reason) {
      future.completeExceptionally(
          new CallException(new CallFailure(true, "answer_too_large", reason)));
      control.cancel();
    }

    @Override
    public void onEnd() {
      account.close();
      future.complete(new HttpReply(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(CallFailure failure) {
      account.close();
      future.completeExceptionally(new CallException(failure));
    }
  }
}
