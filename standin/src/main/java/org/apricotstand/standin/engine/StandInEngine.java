package org.apricotstand.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.engine.EngineState;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpReply;
import org.apricotstand.http.HttpServer;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.settings.InstanceSettings;

/**
 * Model engine that generates fixed text: adapter slots, continuous batching with one token for
 * each running sequence in a step, and loads through the platform's weight store. All state is
 * confined to one thread.
 */
public final class StandInEngine implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long LOAD_TIMEOUT_MS = 60_000;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final EngineSettings settings;
  private final HttpCaller http;
  private final ControlThread thread = new ControlThread();
  private final HttpServer server;
  private final long incarnation = System.nanoTime();
  private final Map<String, Boolean> slots = new LinkedHashMap<>();
  private final List<Sequence> running = new ArrayList<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private long highestFencing;

  private StandInEngine(EventLoopGroup group, HttpCaller http, EngineSettings settings) {
    this.settings = settings;
    this.http = http;
    this.server =
        HttpServer.start(
            group,
            InstanceSettings.parseAddress(settings.address()),
            HttpLimits.DEFAULT,
            exchange -> thread.execute(() -> handle(exchange)));
    thread.executeEvery(settings.stepMs(), this::step);
  }

  /** Starts an engine. */
  public static StandInEngine start(
      EventLoopGroup group, HttpCaller http, EngineSettings settings) {
    return new StandInEngine(group, http, settings);
  }

  /** Returns the address that the engine listens on. */
  public InetSocketAddress address() {
    return server.address();
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.request().path()) {
      case "/v1/completions", "/v1/chat/completions" -> generate(exchange);
      case "/v1/load_lora_adapter" -> load(exchange);
      case "/v1/unload_lora_adapter" -> unload(exchange);
      case "/v1/cancel" -> cancel(exchange);
      case "/v1/state" -> exchange.respondJson(200, encode(state()));
      default -> exchange.respondJson(404, "{}");
    }
  }

  private EngineState state() {
    List<String> resident =
        slots.entrySet().stream().filter(Map.Entry::getValue).map(Map.Entry::getKey).toList();
    return new EngineState(
        incarnation,
        settings.slots(),
        settings.maxBatch(),
        running.size(),
        waiting.size(),
        resident);
  }

  private void generate(HttpExchange exchange) {
    JsonNode body = parse(exchange);
    String name = body.path("model").asText();
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, error("stale_fencing"));
    } else if (!slots.getOrDefault(name, false)) {
      exchange.respondJson(CONFLICT, error("adapter_not_loaded"));
    } else {
      Sequence sequence =
          new Sequence(
              exchange,
              exchange.request().header(EngineHeaders.REQUEST_ID),
              AdapterVersion.parse(name),
              incarnation,
              body.path("stream").asBoolean(),
              body.path("max_tokens").asInt(settings.tokens()));
      exchange.onClosed(() -> thread.execute(() -> drop(sequence)));
      waiting.add(sequence);
    }
  }

  private void drop(Sequence sequence) {
    running.remove(sequence);
    waiting.remove(sequence);
  }

  private void cancel(HttpExchange exchange) {
    String id = parse(exchange).path("request_id").asText();
    List<Sequence> canceled =
        java.util.stream.Stream.concat(running.stream(), waiting.stream())
            .filter(sequence -> sequence.requestId().equals(id))
            .toList();
    canceled.forEach(
        sequence -> {
          drop(sequence);
          sequence.abort();
        });
    exchange.respondJson(200, "{}");
  }

  private void step() {
    while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
      running.add(waiting.removeFirst());
    }
    running.forEach(Sequence::step);
    running.removeIf(Sequence::isDone);
  }

  private void load(HttpExchange exchange) {
    String name = parse(exchange).path("lora_name").asText();
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, error("stale_fencing"));
    } else if (slots.containsKey(name)) {
      exchange.respondJson(200, "{}");
    } else if (slots.size() >= settings.slots()) {
      exchange.respondJson(CONFLICT, error("no_free_slot"));
    } else {
      slots.put(name, false);
      fetchWeights(exchange, name);
    }
  }

  private void fetchWeights(HttpExchange exchange, String name) {
    AdapterVersion wanted = AdapterVersion.parse(name);
    String url = settings.platformUrl() + "/weights/" + wanted.adapter() + "/" + wanted.version();
    http.send(HttpCall.get(url, ControlThread.nowMs() + LOAD_TIMEOUT_MS))
        .whenComplete(
            (reply, failure) -> thread.execute(() -> fetched(exchange, name, reply, failure)));
  }

  private void fetched(HttpExchange exchange, String name, HttpReply reply, Throwable failure) {
    if (failure == null && reply.isSuccess()) {
      slots.put(name, true);
      exchange.respondJson(200, "{}");
    } else {
      slots.remove(name);
      exchange.respondJson(UNAVAILABLE, error("weights_unavailable"));
    }
  }

  private void unload(HttpExchange exchange) {
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, error("stale_fencing"));
      return;
    }
    slots.remove(parse(exchange).path("lora_name").asText());
    exchange.respondJson(200, "{}");
  }

  private boolean isStale(HttpExchange exchange) {
    String header = exchange.request().header(EngineHeaders.FENCING);
    long fencing = header == null ? 0 : Long.parseLong(header);
    if (fencing < highestFencing) {
      return settings.enforceFencing();
    }
    highestFencing = fencing;
    return false;
  }

  private static JsonNode parse(HttpExchange exchange) {
    try {
      return JSON.readTree(exchange.request().body());
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }

  static String error(String code) {
    return encode(Map.of("error", Map.of("code", code)));
  }

  static String encode(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.close();
    thread.stop();
  }
}
