package org.apricotstand.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.platform.InstanceList.Listed;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.settings.InstanceSettings;

/** Platform in memory, served over HTTP. All state is confined to one thread. */
public final class StandInPlatform implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;

  private final ControlThread thread = new ControlThread();
  private final Tables tables = new Tables();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final Map<String, Listed> instances = new TreeMap<>();
  private final WeightStore weights;
  private final HttpServer server;

  private StandInPlatform(EventLoopGroup group, PlatformSettings settings) {
    this.weights =
        new WeightStore(
            settings.loadsPerSecond(),
            settings.loadBurst(),
            settings.loadsInFlight(),
            settings.loadMs());
    this.server =
        HttpServer.start(
            group,
            InstanceSettings.parseAddress(settings.address()),
            HttpLimits.DEFAULT,
            exchange -> thread.execute(() -> handle(exchange)));
  }

  /** Starts a platform. */
  public static StandInPlatform start(EventLoopGroup group, PlatformSettings settings) {
    return new StandInPlatform(group, settings);
  }

  /** Returns the URL of the platform. */
  public String url() {
    InetSocketAddress address = server.address();
    return "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void handle(HttpExchange exchange) {
    String[] parts = exchange.request().path().split("/");
    try {
      switch (parts[1]) {
        case "tables" -> handleTable(exchange, parts);
        case "objects" -> handleObject(exchange, decode(parts[2]));
        case "weights" -> load(exchange);
        case "instances" -> handleInstances(exchange);
        default -> exchange.respondJson(NOT_FOUND, "{}");
      }
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private void handleTable(HttpExchange exchange, String[] parts) throws IOException {
    if (parts[2].equals("commit")) {
      CommitResult result =
          tables.commit(JSON.readValue(exchange.request().body(), Transaction.class));
      boolean committed = result instanceof CommitResult.Committed;
      exchange.respondJson(committed ? 200 : CONFLICT, encode(result));
    } else if (parts.length > 4) {
      Optional<Row> row = tables.read(decode(parts[2]), decode(parts[4]));
      exchange.respondJson(row.isPresent() ? 200 : NOT_FOUND, row.map(this::encode).orElse("{}"));
    } else {
      String prefix = decode(exchange.request().query().replaceFirst("^prefix=", ""));
      exchange.respondJson(200, encode(tables.scan(decode(parts[2]), prefix)));
    }
  }

  private void handleObject(HttpExchange exchange, String key) {
    if (exchange.request().method().equals("PUT")) {
      objects.put(key, exchange.request().body());
      exchange.respondJson(200, "{}");
    } else if (objects.containsKey(key)) {
      exchange.respond(200, Map.of(), objects.get(key));
    } else {
      exchange.respondJson(NOT_FOUND, "{}");
    }
  }

  private void load(HttpExchange exchange) {
    long doneMs = weights.start(ControlThread.nowMs());
    thread.executeAt(
        doneMs,
        () -> {
          weights.finish();
          exchange.respondJson(200, "{}");
        });
  }

  private void handleInstances(HttpExchange exchange) throws IOException {
    if (exchange.request().method().equals("POST")) {
      Listed listed = JSON.readValue(exchange.request().body(), Listed.class);
      instances.put(listed.name(), listed);
      exchange.respondJson(200, "{}");
    } else {
      exchange.respondJson(200, encode(instances.values()));
    }
  }

  private static String decode(String part) {
    return URLDecoder.decode(part, StandardCharsets.UTF_8);
  }

  private String encode(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    server.close();
    thread.stop();
  }
}
