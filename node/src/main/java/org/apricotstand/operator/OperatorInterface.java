package org.apricotstand.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.http.HttpServer;
import org.apricotstand.kernel.Service;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;

/**
 * HTTP interface for operators: {@code /live}, {@code /ready}, {@code /metrics}, {@code /status},
 * {@code /explain?model=NAME} and {@code POST /drain}.
 *
 * <p>{@code /live} and {@code /ready} need no token, since load balancers that probe them cannot
 * send one. All other paths require the token if one is configured.
 */
public final class OperatorInterface implements Service {

  private static final EventLog LOG = EventLog.of(OperatorInterface.class);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpLimits LIMITS = new HttpLimits(8_192, 16_384, 64, 30_000, 5_000);
  private static final String BEARER = "Bearer ";
  private static final String PROMETHEUS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final Set<String> READ_PATHS = Set.of("/metrics", "/status", "/explain");
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final EventLoopGroup group;
  private final InetSocketAddress bindAddress;
  private final byte[] token;
  private final InstanceView instance;
  private final Metrics metrics;
  private HttpServer server;

  /**
   * Creates the interface.
   *
   * @param token bearer token that operators must send, or null if none is required
   */
  public OperatorInterface(
      EventLoopGroup group,
      InetSocketAddress bindAddress,
      String token,
      InstanceView instance,
      Metrics metrics) {
    this.group = group;
    this.bindAddress = bindAddress;
    this.token = token == null ? null : token.getBytes(StandardCharsets.UTF_8);
    this.instance = instance;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    server = HttpServer.start(group, bindAddress, LIMITS, this::handle);
  }

  /** Returns the address on which operators connect; valid after the start. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Starts to drain the instance, so that load balancers stop sending requests to it. */
  public void drain() {
    instance.drain();
  }

  @Override
  public void stop() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    switch (request.path()) {
      case "/live" -> exchange.respondJson(OK, "{\"live\":true}");
      case "/ready" -> {
        boolean ready = instance.isReady();
        exchange.respondJson(ready ? OK : UNAVAILABLE, "{\"ready\":" + ready + "}");
      }
      default -> {
        if (isAuthorized(request)) {
          handleAuthorized(exchange, request);
        } else {
          metrics.count("operator.unauthorized");
          LOG.warn(
              "operator_unauthorized", "remote", request.remoteAddress(), "path", request.path());
          respondError(exchange, UNAUTHORIZED, "unauthorized", "expected a valid bearer token");
        }
      }
    }
  }

  private boolean isAuthorized(HttpRequest request) {
    if (token == null) {
      return true;
    }
    String header = request.header("authorization");
    return header != null
        && header.regionMatches(true, 0, BEARER, 0, BEARER.length())
        && MessageDigest.isEqual(
            token, header.substring(BEARER.length()).strip().getBytes(StandardCharsets.UTF_8));
  }

  private void handleAuthorized(HttpExchange exchange, HttpRequest request) {
    boolean isDrain = request.path().equals("/drain");
    if (!isDrain && !READ_PATHS.contains(request.path())) {
      respondError(exchange, NOT_FOUND, "unknown_path", "no such path");
      return;
    }
    String expectedMethod = isDrain ? "POST" : "GET";
    if (!request.method().equals(expectedMethod)) {
      respondError(
          exchange, METHOD_NOT_ALLOWED, "method_not_allowed", "expected " + expectedMethod);
      return;
    }
    switch (request.path()) {
      case "/metrics" -> handleMetrics(exchange, request);
      case "/status" -> respondWhenComplete(exchange, instance.status());
      case "/explain" -> handleExplain(exchange, request);
      default -> {
        LOG.info("drain_requested", "remote", request.remoteAddress());
        instance.drain();
        exchange.respondJson(ACCEPTED, "{\"draining\":true}");
      }
    }
  }

  private void handleMetrics(HttpExchange exchange, HttpRequest request) {
    if (queryParameter(request, "format").equals("json")) {
      exchange.respondJson(OK, metrics.json());
    } else {
      exchange.respond(
          OK,
          Map.of("content-type", PROMETHEUS_TYPE),
          metrics.prometheus().getBytes(StandardCharsets.UTF_8));
    }
  }

  private void handleExplain(HttpExchange exchange, HttpRequest request) {
    String model = queryParameter(request, "model");
    if (model.isEmpty()) {
      respondError(exchange, BAD_REQUEST, "missing_model", "expected /explain?model=NAME");
    } else {
      respondWhenComplete(exchange, instance.explain(model));
    }
  }

  private static String queryParameter(HttpRequest request, String name) {
    QueryStringDecoder query = new QueryStringDecoder(request.query(), false);
    return query.parameters().getOrDefault(name, List.of("")).getFirst();
  }

  private static void respondWhenComplete(HttpExchange exchange, CompletableFuture<?> result) {
    result.whenComplete(
        (value, failure) -> {
          Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
          if (cause == null) {
            exchange.respondJson(OK, toJson(value));
          } else if (cause instanceof IllegalArgumentException) {
            respondError(exchange, NOT_FOUND, "unknown_model", cause.getMessage());
          } else {
            LOG.warn("operator_request_failed", "error", cause.toString());
            respondError(exchange, INTERNAL_ERROR, "internal", cause.toString());
          }
        });
  }

  private static void respondError(HttpExchange exchange, int status, String code, String detail) {
    exchange.respondJson(
        status, toJson(Map.of("error", Map.of("code", code, "detail", String.valueOf(detail)))));
  }

  private static String toJson(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
