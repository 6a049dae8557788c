package org.apricotstand.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.math3.random.Well19937c;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.engine.EngineState;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpReply;
import org.apricotstand.model.AdapterVersion;

/**
 * One incarnation of an engine: its adapter slots, batch and prefix cache. Confined to the engine's
 * thread. Nothing of it outlives a crash.
 */
final class EngineProcess {

  private static final long LOAD_TIMEOUT_MS = 60_000;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EngineSettings settings;
  private final EngineFaults faults;
  private final EngineJournal journal;
  private final HttpClient http;
  private final ControlThread thread;
  private final Runnable crash;
  private final long incarnation;
  private final PrefixCache cache;
  private final Map<String, Boolean> slots = new LinkedHashMap<>();
  private final List<Sequence> running = new ArrayList<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private final Map<String, Sequence> resumable = new LinkedHashMap<>();
  private long highestFencing;
  private boolean stepping;
  private boolean dead;

  EngineProcess(
      EngineSettings settings,
      EngineFaults faults,
      EngineJournal journal,
      HttpClient http,
      ControlThread thread,
      Runnable crash,
      long incarnation) {
    this.settings = settings;
    this.faults = faults;
    this.journal = journal;
    this.http = http;
    this.thread = thread;
    this.crash = crash;
    this.incarnation = incarnation;
    this.cache = new PrefixCache(settings.behavior(), new Well19937c(settings.behavior().seed()));
    journal.adapter(EngineEvent.Kind.COLD_START, incarnation, "", 0);
  }

  EngineState state() {
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

  List<PrefixCache.Event> cacheEvents(long fromNumber) {
    return cache.publishedFrom(fromNumber, ControlThread.nowMs());
  }

  void generate(HttpExchange exchange, JsonNode body) {
    String name = body.path("model").asText();
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.error("stale_fencing"));
    } else if (!slots.getOrDefault(name, false)) {
      exchange.respondJson(CONFLICT, StandInEngine.error("adapter_not_loaded"));
    } else {
      Sequence sequence =
          new Sequence(
              exchange,
              AdapterVersion.parse(name),
              incarnation,
              promptOf(body),
              body.path("user").asText(),
              body.path("stream").asBoolean(),
              body.path("max_tokens").asInt(settings.tokens()));
      journal.request(EngineEvent.Kind.ACCEPTED, incarnation, sequence);
      accept(sequence, exchange);
    }
  }

  private void accept(Sequence sequence, HttpExchange exchange) {
    exchange.setCloseListener(() -> thread.execute(() -> detached(sequence, exchange)));
    waiting.add(sequence);
    if (!sequence.requestId().isEmpty()) {
      resumable.put(sequence.requestId(), sequence);
    }
    keepStepping();
  }

  private static String promptOf(JsonNode body) {
    JsonNode prompt = body.has("prompt") ? body.path("prompt") : body.path("messages");
    return prompt.isTextual() ? prompt.asText() : prompt.toString();
  }

  /** A sequence whose connection broke runs on for a while, so that it can be resumed. */
  private void detached(Sequence sequence, HttpExchange exchange) {
    if (!sequence.isAttachedTo(exchange) || sequence.isDone()) {
      return;
    }
    long expiryMs = ControlThread.nowMs() + settings.behavior().resumeMs();
    thread.executeAt(
        expiryMs,
        () -> {
          if (sequence.isAttachedTo(exchange) && !sequence.isDone()) {
            cancelSequence(sequence);
          }
        });
  }

  void resume(HttpExchange exchange, JsonNode body) {
    Sequence sequence = resumable.get(body.path("request_id").asText());
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.error("stale_fencing"));
    } else if (sequence == null) {
      exchange.respondJson(NOT_FOUND, StandInEngine.error("unknown_request"));
    } else {
      exchange.setCloseListener(() -> thread.execute(() -> detached(sequence, exchange)));
      sequence.resume(exchange, body.path("from_token").asInt());
    }
  }

  void cancel(HttpExchange exchange, JsonNode body) {
    String id = body.path("request_id").asText();
    sequences().filter(sequence -> sequence.requestId().equals(id)).toList().stream()
        .peek(this::cancelSequence)
        .forEach(Sequence::abort);
    exchange.respondJson(200, "{}");
  }

  private void cancelSequence(Sequence sequence) {
    resumable.remove(sequence.requestId(), sequence);
    if (running.remove(sequence) | waiting.remove(sequence)) {
      journal.request(EngineEvent.Kind.CANCELED, incarnation, sequence);
    }
  }

  private Stream<Sequence> sequences() {
    return Stream.concat(running.stream(), waiting.stream());
  }

  private void keepStepping() {
    if (!stepping) {
      stepping = true;
      thread.executeAt(ControlThread.nowMs() + faults.stepMs(), this::step);
    }
  }

  private void step() {
    stepping = false;
    if (dead) {
      return;
    }
    long dueMs = ControlThread.nowMs() + faults.stepMs();
    admit();
    if (dead) {
      return;
    }
    journal.step(running.size());
    running.forEach(Sequence::step);
    running.stream().filter(Sequence::isDone).toList().forEach(this::finished);
    if (!running.isEmpty() || !waiting.isEmpty()) {
      stepping = true;
      thread.executeAt(dueMs, this::step);
    }
  }

  private void admit() {
    waiting.sort(Comparator.comparing(Sequence::priority));
    List<Sequence> admitted = new ArrayList<>();
    while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
      Sequence sequence = waiting.removeFirst();
      int blocks =
          cache.computeBlocks(
              sequence.adapterVersion().toString(), sequence.prompt(), ControlThread.nowMs());
      sequence.prefill(blocks / settings.behavior().prefillBlocksPerStep());
      running.add(sequence);
      admitted.add(sequence);
      journal.request(EngineEvent.Kind.STARTED, incarnation, sequence);
    }
    if (admitted.size() > 1 && faults.takeCrossedPair()) {
      admitted.get(0).cross(admitted.get(1));
    }
    if (admitted.stream().anyMatch(sequence -> faults.crashesOn(sequence.prompt()))) {
      crash.run();
    }
  }

  private void finished(Sequence sequence) {
    running.remove(sequence);
    journal.request(EngineEvent.Kind.FINISHED, incarnation, sequence);
    thread.executeAt(
        ControlThread.nowMs() + settings.behavior().resumeMs(),
        () -> resumable.remove(sequence.requestId(), sequence));
  }

  void load(HttpExchange exchange, JsonNode body) {
    String name = body.path("lora_name").asText();
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.error("stale_fencing"));
    } else if (slots.containsKey(name)) {
      exchange.respondJson(200, "{}");
    } else if (slots.size() >= settings.slots()) {
      exchange.respondJson(CONFLICT, StandInEngine.error("no_free_slot"));
    } else {
      slots.put(name, false);
      journal.adapter(EngineEvent.Kind.LOAD_STARTED, incarnation, name, 0);
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
    if (dead) {
      return;
    }
    if (failure == null && reply.isSuccess() && !faults.takeFailingLoad(name)) {
      slots.put(name, true);
      journal.adapter(EngineEvent.Kind.LOADED, incarnation, name, 0);
      exchange.respondJson(200, "{}");
    } else {
      slots.remove(name);
      journal.adapter(EngineEvent.Kind.LOAD_FAILED, incarnation, name, 0);
      exchange.respondJson(UNAVAILABLE, StandInEngine.error("weights_unavailable"));
    }
  }

  void unload(HttpExchange exchange, JsonNode body) {
    String name = body.path("lora_name").asText();
    if (isStale(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.error("stale_fencing"));
      return;
    }
    if (Optional.ofNullable(slots.get(name)).orElse(false)) {
      slots.remove(name);
      List<Sequence> inUse =
          sequences().filter(one -> one.adapterVersion().toString().equals(name)).toList();
      journal.adapter(EngineEvent.Kind.UNLOADED, incarnation, name, inUse.size());
      inUse.forEach(this::cancelSequence);
      inUse.forEach(Sequence::abort);
    }
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

  void die() {
    dead = true;
    journal.adapter(EngineEvent.Kind.CRASH, incarnation, "", running.size() + waiting.size());
    sequences().toList().forEach(Sequence::abort);
    running.clear();
    waiting.clear();
  }
}
