package org.apricotstand.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;

/** HTTP client with its event loops for one test. */
public final class HttpTestClient implements AutoCloseable {

  private static final long TIMEOUT_MS = 60_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group);

  /** Returns the event loops of the client, which a server of the test may share. */
  public EventLoopGroup group() {
    return group;
  }

  /** Returns the HTTP client, for the code under test. */
  public HttpClient http() {
    return http;
  }

  /**
   * Sends a POST request with a JSON body on a new connection.
   *
   * @param headers names and values of further headers in turn
   */
  public CompletableFuture<HttpReply> post(String url, String body, String... headers) {
    HttpCall call =
        HttpCall.json(
                "POST",
                url,
                body.getBytes(StandardCharsets.UTF_8),
                ControlThread.nowMs() + TIMEOUT_MS)
            .withNewConnection();
    for (int i = 0; i < headers.length; i += 2) {
      call = call.withHeader(headers[i], headers[i + 1]);
    }
    return http.send(call);
  }

  /** Sends a GET request on a new connection and waits for its answer. */
  public HttpReply get(String url) {
    return http.send(HttpCall.get(url, ControlThread.nowMs() + TIMEOUT_MS).withNewConnection())
        .join();
  }

  /** Returns the URL of a server on the loopback address. */
  public static String url(InetSocketAddress address) {
    return "http://127.0.0.1:" + address.getPort();
  }

  @Override
  public void close() {
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
