package org.apricotstand.serve;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.kernel.Service;
import org.apricotstand.observe.Metrics;

/** Serves the readiness check and the metrics, each at an address of its own. */
final class StatusServer implements Service {

  private final EventLoopGroup group;
  private final InetSocketAddress readyAddress;
  private final InetSocketAddress metricsAddress;
  private final BooleanSupplier ready;
  private final Metrics metrics;
  private HttpServer readyServer;
  private HttpServer metricsServer;

  StatusServer(
      EventLoopGroup group,
      InetSocketAddress readyAddress,
      InetSocketAddress metricsAddress,
      BooleanSupplier ready,
      Metrics metrics) {
    this.group = group;
    this.readyAddress = readyAddress;
    this.metricsAddress = metricsAddress;
    this.ready = ready;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    readyServer = HttpServer.start(group, readyAddress, HttpLimits.DEFAULT, this::answerReady);
    metricsServer =
        HttpServer.start(group, metricsAddress, HttpLimits.DEFAULT, this::answerMetrics);
  }

  private void answerReady(HttpExchange exchange) {
    boolean isReady = ready.getAsBoolean();
    exchange.respondJson(isReady ? 200 : 503, "{\"ready\":" + isReady + "}");
  }

  private void answerMetrics(HttpExchange exchange) {
    byte[] text = metrics.prometheus().getBytes(StandardCharsets.UTF_8);
    exchange.respond(200, Map.of("content-type", "text/plain; version=0.0.4"), text);
  }

  @Override
  public void stop() {
    readyServer.close();
    metricsServer.close();
  }
}
