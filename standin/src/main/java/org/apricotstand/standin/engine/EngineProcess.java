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
 * One incarnation of an engine: its adapter slots, batch and prefix cache, all of which are lost in
 * a crash. Confined to the engine's thread.
 */
final class EngineProcess {

  private static final long LOAD_TIMEOUT_MS = 60_000;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EngineSettings settings;
  private final EngineFaults faults;
  private final EngineEventLog eventLog;
  private final HttpClient http;
  private final ControlThread thread;
  private final Runnable crashEngine;
  private final long incarnation;
  private final PrefixCache cache;

  /** Adapter versions that occupy a slot, and whether their load is complete. */
  private final Map<String, Boolean> loadedByAdapter = new LinkedHashMap<>();

  private final List<Sequence> running = new ArrayList<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private final Map<String, Sequence> resumableByRequestId = new LinkedHashMap<>();
  private long highestFencing;
  private boolean stepScheduled;
  private boolean terminated;

  EngineProcess(
      EngineSettings settings,
      EngineFaults faults,
      EngineEventLog eventLog,
      HttpClient http,
      ControlThread thread,
      Runnable crashEngine,
      long incarnation) {
    this.settings = settings;
    this.faults = faults;
    this.eventLog = eventLog;
    this.http = http;
    this.thread = thread;
    this.crashEngine = crashEngine;
    this.incarnation = incarnation;
    this.cache = new PrefixCache(settings.behavior(), new Well19937c(settings.behavior().seed()));
    eventLog.recordAdapterEvent(EngineEvent.Kind.COLD_START, incarnation, "", 0);
  }

  EngineState state() {
    List<String> resident =
        loadedByAdapter.entrySet().stream()
            .filter(Map.Entry::getValue)
            .map(Map.Entry::getKey)
            .toList();
    return new EngineState(
        incarnation,
        settings.slots(),
        settings.maxBatch(),
        running.size(),
        waiting.size(),
        resident);
  }

  List<PrefixCache.Event> cacheEvents(long fromNumber) {
    return cache.publishedEvents(fromNumber, ControlThread.nowMs());
  }

  void generate(HttpExchange exchange, JsonNode body) {
    String name = body.path("model").asText();
    if (hasStaleFencing(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.errorBody("stale_fencing"));
    } else if (!loadedByAdapter.getOrDefault(name, false)) {
      exchange.respondJson(CONFLICT, StandInEngine.errorBody("adapter_not_loaded"));
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
      eventLog.recordRequestEvent(EngineEvent.Kind.ACCEPTED, incarnation, sequence);
      enqueue(sequence, exchange);
    }
  }

  private void enqueue(Sequence sequence, HttpExchange exchange) {
    exchange.setCloseListener(() -> thread.execute(() -> onDisconnected(sequence, exchange)));
    waiting.add(sequence);
    if (!sequence.requestId().isEmpty()) {
      resumableByRequestId.put(sequence.requestId(), sequence);
    }
    ensureStepScheduled();
  }

  private static String promptOf(JsonNode body) {
    JsonNode prompt = body.has("prompt") ? body.path("prompt") : body.path("messages");
    return prompt.isTextual() ? prompt.asText() : prompt.toString();
  }

  /** Cancels a disconnected sequence if it is not resumed in the configured time. */
  private void onDisconnected(Sequence sequence, HttpExchange exchange) {
    if (!sequence.isAttachedTo(exchange) || sequence.isDone()) {
      return;
    }
    long cancelAtMs = ControlThread.nowMs() + settings.behavior().resumeMs();
    thread.executeAt(
        cancelAtMs,
        () -> {
          if (sequence.isAttachedTo(exchange) && !sequence.isDone()) {
            cancelSequence(sequence);
          }
        });
  }

  void resume(HttpExchange exchange, JsonNode body) {
    Sequence sequence = resumableByRequestId.get(body.path("request_id").asText());
    if (hasStaleFencing(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.errorBody("stale_fencing"));
    } else if (sequence == null) {
      exchange.respondJson(NOT_FOUND, StandInEngine.errorBody("unknown_request"));
    } else {
      exchange.setCloseListener(() -> thread.execute(() -> onDisconnected(sequence, exchange)));
      sequence.resume(exchange, body.path("from_token").asInt());
    }
  }

  void cancel(HttpExchange exchange, JsonNode body) {
    String requestId = body.path("request_id").asText();
    sequences().filter(sequence -> sequence.requestId().equals(requestId)).toList().stream()
        .peek(this::cancelSequence)
        .forEach(Sequence::abort);
    exchange.respondJson(200, "{}");
  }

  private void cancelSequence(Sequence sequence) {
    resumableByRequestId.remove(sequence.requestId(), sequence);
    if (running.remove(sequence) | waiting.remove(sequence)) {
      eventLog.recordRequestEvent(EngineEvent.Kind.CANCELED, incarnation, sequence);
    }
  }

  private Stream<Sequence> sequences() {
    return Stream.concat(running.stream(), waiting.stream());
  }

  private void ensureStepScheduled() {
    if (!stepScheduled) {
      stepScheduled = true;
      thread.executeAt(ControlThread.nowMs() + faults.stepMs(), this::runStep);
    }
  }

  private void runStep() {
    stepScheduled = false;
    if (terminated) {
      return;
    }
    long dueMs = ControlThread.nowMs() + faults.stepMs();
    admitWaiting();
    if (terminated) {
      return;
    }
    eventLog.recordStep(running.size());
    running.forEach(Sequence::step);
    running.stream().filter(Sequence::isDone).toList().forEach(this::onFinished);
    if (!running.isEmpty() || !waiting.isEmpty()) {
      stepScheduled = true;
      thread.executeAt(dueMs, this::runStep);
    }
  }

  private void admitWaiting() {
    waiting.sort(Comparator.comparing(Sequence::priority));
    List<Sequence> admitted = new ArrayList<>();
    while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
      Sequence sequence = waiting.removeFirst();
      int blocks =
          cache.insertPrompt(
              sequence.adapterVersion().toString(), sequence.prompt(), ControlThread.nowMs());
      sequence.setPrefillSteps(blocks / settings.behavior().prefillBlocksPerStep());
      running.add(sequence);
      admitted.add(sequence);
      eventLog.recordRequestEvent(EngineEvent.Kind.STARTED, incarnation, sequence);
    }
    if (admitted.size() > 1 && faults.takeCrossedPair()) {
      admitted.get(0).swapExchanges(admitted.get(1));
    }
    if (admitted.stream().anyMatch(sequence -> faults.crashesOn(sequence.prompt()))) {
      crashEngine.run();
    }
  }

  private void onFinished(Sequence sequence) {
    running.remove(sequence);
    eventLog.recordRequestEvent(EngineEvent.Kind.FINISHED, incarnation, sequence);
    thread.executeAt(
        ControlThread.nowMs() + settings.behavior().resumeMs(),
        () -> resumableByRequestId.remove(sequence.requestId(), sequence));
  }

  void load(HttpExchange exchange, JsonNode body) {
    String name = body.path("lora_name").asText();
    if (hasStaleFencing(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.errorBody("stale_fencing"));
    } else if (loadedByAdapter.containsKey(name)) {
      exchange.respondJson(200, "{}");
    } else if (loadedByAdapter.size() >= settings.slots()) {
      exchange.respondJson(CONFLICT, StandInEngine.errorBody("no_free_slot"));
    } else {
      loadedByAdapter.put(name, false);
      eventLog.recordAdapterEvent(EngineEvent.Kind.LOAD_STARTED, incarnation, name, 0);
      fetchWeights(exchange, name);
    }
  }

  private void fetchWeights(HttpExchange exchange, String name) {
    AdapterVersion adapterVersion = AdapterVersion.parse(name);
    String url =
        settings.platformUrl()
            + "/weights/"
            + adapterVersion.adapter()
            + "/"
            + adapterVersion.version();
    http.send(HttpCall.get(url, ControlThread.nowMs() + LOAD_TIMEOUT_MS))
        .whenComplete(
            (reply, failure) ->
                thread.execute(() -> onWeightsFetched(exchange, name, reply, failure)));
  }

  private void onWeightsFetched(
      HttpExchange exchange, String name, HttpReply reply, Throwable failure) {
    if (terminated) {
      return;
    }
    if (failure == null && reply.isSuccess() && !faults.takeFailingLoad(name)) {
      loadedByAdapter.put(name, true);
      eventLog.recordAdapterEvent(EngineEvent.Kind.LOADED, incarnation, name, 0);
      exchange.respondJson(200, "{}");
    } else {
      loadedByAdapter.remove(name);
      eventLog.recordAdapterEvent(EngineEvent.Kind.LOAD_FAILED, incarnation, name, 0);
      exchange.respondJson(UNAVAILABLE, StandInEngine.errorBody("weights_unavailable"));
    }
  }

  void unload(HttpExchange exchange, JsonNode body) {
    String name = body.path("lora_name").asText();
    if (hasStaleFencing(exchange)) {
      exchange.respondJson(CONFLICT, StandInEngine.errorBody("stale_fencing"));
      return;
    }
    if (Optional.ofNullable(loadedByAdapter.get(name)).orElse(false)) {
      loadedByAdapter.remove(name);
      List<Sequence> inUse =
          sequences()
              .filter(sequence -> sequence.adapterVersion().toString().equals(name))
              .toList();
      eventLog.recordAdapterEvent(EngineEvent.Kind.UNLOADED, incarnation, name, inUse.size());
      inUse.forEach(this::cancelSequence);
      inUse.forEach(Sequence::abort);
    }
    exchange.respondJson(200, "{}");
  }

  /** Returns whether a call is refused for a stale fencing token; otherwise records the token. */
  private boolean hasStaleFencing(HttpExchange exchange) {
    String header = exchange.request().header(EngineHeaders.FENCING);
    long fencing = header == null ? 0 : Long.parseLong(header);
    if (fencing < highestFencing) {
      return settings.enforceFencing();
    }
    highestFencing = fencing;
    return false;
  }

  /** Ends the process as in a crash: closes the connections of all its sequences. */
  void terminate() {
    terminated = true;
    eventLog.recordAdapterEvent(
        EngineEvent.Kind.CRASH, incarnation, "", running.size() + waiting.size());
    sequences().toList().forEach(Sequence::abort);
    running.clear();
    waiting.clear();
  }
}
