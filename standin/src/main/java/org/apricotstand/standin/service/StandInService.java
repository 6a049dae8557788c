package org.apricotstand.standin.service;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;

/** Plain service that counts its runs by request identity. */
public final class StandInService implements AutoCloseable {

  private final String identityHeader;
  private final Map<String, Integer> runs = new TreeMap<>();
  private final HttpServer server;

  private StandInService(EventLoopGroup group, InetSocketAddress address, String identityHeader) {
    this.identityHeader = identityHeader;
    this.server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
  }

  /** Starts a service that reads the request identity from the given header. */
  public static StandInService start(
      EventLoopGroup group, InetSocketAddress address, String identityHeader) {
    return new StandInService(group, address, identityHeader);
  }

  /** Returns the address that the service listens on. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns how often a request identity was run. */
  public synchronized int runs(String identity) {
    return runs.getOrDefault(identity, 0);
  }

  private synchronized void handle(HttpExchange exchange) {
    String identity = exchange.request().header(identityHeader);
    int count = runs.merge(identity == null ? "" : identity, 1, Integer::sum);
    exchange.respondJson(200, "{\"identity\":\"" + identity + "\",\"run\":" + count + "}");
  }

  @Override
  public void close() {
    server.close();
  }
}
