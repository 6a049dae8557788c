package org.apricotstand.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.platform.InstanceList.ListEntry;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.settings.InstanceSettings;

/**
 * Platform in memory, served over HTTP. All state is confined to one thread. {@code POST /faults}
 * sets faults, with the fields of {@link PlatformFaults}; {@code GET /counters} returns the numbers
 * of reads and writes, {@code GET /loads} the loads of the weight store.
 */
public final class StandInPlatform implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final ControlThread thread = new ControlThread();
  private final TableStore tables = new TableStore();
  private final Map<String, byte[]> objectsByKey = new HashMap<>();
  private final PlatformFaults faults = new PlatformFaults();
  private final OperationCounters counters = new OperationCounters();
  private final LaggingInstanceList instances;
  private final WeightStore weights;
  private final HttpServer server;

  private StandInPlatform(EventLoopGroup group, PlatformSettings settings) {
    this.instances = new LaggingInstanceList(settings.listLagMs());
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

  /** Starts a platform and its HTTP server. */
  public static StandInPlatform start(EventLoopGroup group, PlatformSettings settings) {
    return new StandInPlatform(group, settings);
  }

  /** Returns the URL of the platform. */
  public String url() {
    InetSocketAddress address = server.address();
    return "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns the loads of the weight store so far. */
  public List<WeightLoad> loads() {
    return CompletableFuture.supplyAsync(weights::loads, thread).join();
  }

  /** Returns the numbers of reads and writes so far, as JSON text. */
  public String countersJson() {
    return CompletableFuture.supplyAsync(() -> toJson(counters.totals()), thread).join();
  }

  private void handle(HttpExchange exchange) {
    String[] pathParts = exchange.request().path().split("/");
    String service = pathParts.length > 1 ? pathParts[1] : "";
    switch (service) {
      case "faults" -> setFaults(exchange);
      case "counters" -> exchange.respondJson(200, toJson(counters.totals()));
      case "loads" -> exchange.respondJson(200, toJson(weights.loads()));
      case "tables", "objects", "weights", "instances" ->
          handleWithFaults(exchange, service, pathParts);
      default -> exchange.respondJson(NOT_FOUND, "{}");
    }
  }

  private void setFaults(HttpExchange exchange) {
    try {
      faults.apply(JSON.readTree(exchange.request().body()));
      exchange.respondJson(200, "{}");
    } catch (IOException | IllegalArgumentException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private void handleWithFaults(HttpExchange exchange, String service, String[] pathParts) {
    switch (faults.outage(service)) {
      case REFUSE -> exchange.respondJson(UNAVAILABLE, "{}");
      case ABORT -> exchange.abort();
      case HANG -> {}
      case NONE -> {
        long delayMs = faults.delayMs(service);
        if (delayMs == 0) {
          handleService(exchange, service, pathParts);
        } else {
          thread.executeAt(
              ControlThread.nowMs() + delayMs, () -> handleService(exchange, service, pathParts));
        }
      }
      default -> throw new IllegalStateException();
    }
  }

  private void handleService(HttpExchange exchange, String service, String[] pathParts) {
    boolean isWrite = !exchange.request().method().equals("GET");
    counters.recordOperation(service, isWrite, ControlThread.nowMs());
    HttpExchange answerExchange =
        isWrite && faults.drawLostAnswer(service) ? new AbortingExchange(exchange) : exchange;
    try {
      switch (service) {
        case "tables" -> handleTable(answerExchange, pathParts);
        case "objects" -> handleObject(answerExchange, decode(pathParts[2]));
        case "weights" -> handleWeights(answerExchange, pathParts);
        default -> handleInstances(answerExchange, pathParts);
      }
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private void handleTable(HttpExchange exchange, String[] pathParts) throws IOException {
    if (pathParts[2].equals("commit")) {
      CommitResult result =
          tables.commit(JSON.readValue(exchange.request().body(), Transaction.class));
      boolean committed = result instanceof CommitResult.Committed;
      exchange.respondJson(committed ? 200 : CONFLICT, toJson(result));
    } else if (pathParts.length > 4) {
      Optional<Row> row = tables.read(decode(pathParts[2]), decode(pathParts[4]));
      exchange.respondJson(row.isPresent() ? 200 : NOT_FOUND, row.map(this::toJson).orElse("{}"));
    } else {
      String prefix = decode(exchange.request().query().replaceFirst("^prefix=", ""));
      exchange.respondJson(200, toJson(tables.scan(decode(pathParts[2]), prefix)));
    }
  }

  private void handleObject(HttpExchange exchange, String key) {
    if (exchange.request().method().equals("PUT")) {
      objectsByKey.put(key, exchange.request().body());
      exchange.respondJson(200, "{}");
    } else if (objectsByKey.containsKey(key)) {
      exchange.respond(200, Map.of(), objectsByKey.get(key));
    } else {
      exchange.respondJson(NOT_FOUND, "{}");
    }
  }

  private void handleWeights(HttpExchange exchange, String[] pathParts) {
    String adapterVersion =
        pathParts.length > 3 ? decode(pathParts[2]) + "@" + decode(pathParts[3]) : "";
    long doneMs = weights.startLoad(adapterVersion, ControlThread.nowMs());
    thread.executeAt(
        doneMs,
        () -> {
          weights.finishLoad();
          exchange.respondJson(200, "{}");
        });
  }

  private void handleInstances(HttpExchange exchange, String[] pathParts) throws IOException {
    long nowMs = ControlThread.nowMs();
    switch (exchange.request().method()) {
      case "POST" -> {
        instances.put(JSON.readValue(exchange.request().body(), ListEntry.class), nowMs);
        exchange.respondJson(200, "{}");
      }
      case "DELETE" -> {
        instances.remove(decode(pathParts[2]), nowMs);
        exchange.respondJson(200, "{}");
      }
      default -> exchange.respondJson(200, toJson(instances.visibleEntries(nowMs)));
    }
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private String toJson(Object value) {
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
