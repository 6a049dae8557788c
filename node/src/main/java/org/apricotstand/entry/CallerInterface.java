package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/** HTTP interface for callers: model requests and calls to plain services. */
final class CallerInterface implements Service {

  private static final Set<String> MODEL_PATHS = Set.of("/v1/completions", "/v1/chat/completions");
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final HttpLimits limits;
  private final BooleanSupplier ready;
  private final ModelRoute models;
  private final ServiceRoute services;
  private HttpServer server;

  CallerInterface(
      EventLoopGroup group,
      InetSocketAddress address,
      HttpLimits limits,
      BooleanSupplier ready,
      ModelRoute models,
      ServiceRoute services) {
    this.group = group;
    this.address = address;
    this.limits = limits;
    this.ready = ready;
    this.models = models;
    this.services = services;
  }

  @Override
  public void start() {
    server = HttpServer.start(group, address, limits, this::handle);
  }

  InetSocketAddress address() {
    return server.address();
  }

  private void handle(HttpExchange exchange) {
    String path = exchange.request().path();
    if (!ready.getAsBoolean()) {
      ErrorAnswer.refuse(
          exchange,
          UNAVAILABLE,
          new Failure(Step.ADMISSION, path, "not_ready", "this instance has no declarations yet"));
    } else if (MODEL_PATHS.contains(path)) {
      models.handle(exchange);
    } else if (!services.handle(exchange)) {
      ErrorAnswer.refuse(
          exchange,
          NOT_FOUND,
          new Failure(Step.ADMISSION, path, "unknown_path", "no service has this path"));
    }
  }

  /** Ends connections after the answer in progress and accepts no more. */
  void drain() {
    server.drain();
  }

  /** Returns whether no answer is in progress. */
  boolean isIdle() {
    return server.isIdle();
  }

  @Override
  public void stop() {
    server.close();
  }
}
