package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpMemory;
import org.apricotstand.http.HttpServer;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/** HTTP server for callers. Dispatches model requests and calls to plain services by path. */
final class CallerInterface implements Service {

  private static final Set<String> MODEL_PATHS = Set.of("/v1/completions", "/v1/chat/completions");
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final HttpLimits limits;
  private final HttpMemory memory;
  private final BooleanSupplier isReady;
  private final ModelRequestHandler modelRequestHandler;
  private final ServiceRequestHandler serviceRequestHandler;
  private HttpServer server;

  CallerInterface(
      EventLoopGroup group,
      InetSocketAddress address,
      HttpLimits limits,
      HttpMemory memory,
      BooleanSupplier isReady,
      ModelRequestHandler modelRequestHandler,
      ServiceRequestHandler serviceRequestHandler) {
    this.group = group;
    this.address = address;
    this.limits = limits;
    this.memory = memory;
    this.isReady = isReady;
    this.modelRequestHandler = modelRequestHandler;
    this.serviceRequestHandler = serviceRequestHandler;
  }

  @Override
  public void start() {
    server = HttpServer.start(group, address, limits, memory, this::handle);
  }

  InetSocketAddress address() {
    return server.address();
  }

  private void handle(HttpExchange exchange) {
    String path = exchange.request().path();
    if (!isReady.getAsBoolean()) {
      ErrorAnswer.refuse(
          exchange,
          UNAVAILABLE,
          new Failure(Step.ADMISSION, path, "not_ready", "this instance has no declarations yet"));
    } else if (MODEL_PATHS.contains(path)) {
      modelRequestHandler.handle(exchange);
    } else if (!serviceRequestHandler.handle(exchange)) {
      ErrorAnswer.refuse(
          exchange,
          NOT_FOUND,
          new Failure(Step.ADMISSION, path, "unknown_path", "no service has this path"));
    }
  }

  /** Accepts no new connections and closes each open one after its answer in progress. */
  void drain() {
    server.drain();
  }

  /** Returns whether no connection is open; after a drain, all answers have ended then. */
  boolean isIdle() {
    return server.isIdle();
  }

  @Override
  public void stop() {
    server.close();
  }
}
