package org.apricotstand.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;

/** One sequence in an engine's batch; generates one token in each step after its prefill. */
final class Sequence {

  private final String requestId;
  private final int attempt;
  private final AdapterVersion adapterVersion;
  private final RequestClass priority;
  private final String prompt;
  private final String user;
  private final boolean streamed;
  private final int tokens;
  private final Map<String, String> headers = new LinkedHashMap<>();
  private final List<String> generated = new ArrayList<>();
  private HttpExchange exchange;
  private int sent;
  private boolean begun;
  private int prefillSteps;

  Sequence(
      HttpExchange exchange,
      AdapterVersion adapterVersion,
      long incarnation,
      String prompt,
      String user,
      boolean streamed,
      int tokens) {
    this.exchange = exchange;
    this.requestId = headerOr(exchange, EngineHeaders.REQUEST_ID, "");
    this.attempt = Integer.parseInt(headerOr(exchange, EngineHeaders.ATTEMPT, "1"));
    this.priority = priorityOf(headerOr(exchange, EngineHeaders.PRIORITY, "STANDARD"));
    this.adapterVersion = adapterVersion;
    this.prompt = prompt;
    this.user = user;
    this.streamed = streamed;
    this.tokens = tokens;
    headers.put("content-type", streamed ? "text/event-stream" : "application/json");
    headers.put(EngineHeaders.ADAPTER_VERSION, adapterVersion.toString());
    headers.put(EngineHeaders.ENGINE_INCARNATION, Long.toString(incarnation));
    headers.put(EngineHeaders.REQUEST_ID, requestId);
    headers.put(EngineHeaders.ATTEMPT, Integer.toString(attempt));
  }

  private static String headerOr(HttpExchange exchange, String name, String absent) {
    String value = exchange.request().header(name);
    return value == null ? absent : value;
  }

  private static RequestClass priorityOf(String name) {
    try {
      return RequestClass.valueOf(name);
    } catch (IllegalArgumentException e) {
      return RequestClass.STANDARD;
    }
  }

  String requestId() {
    return requestId;
  }

  int attempt() {
    return attempt;
  }

  AdapterVersion adapterVersion() {
    return adapterVersion;
  }

  RequestClass priority() {
    return priority;
  }

  String prompt() {
    return prompt;
  }

  String user() {
    return user;
  }

  void prefill(int steps) {
    prefillSteps = steps;
  }

  boolean isDone() {
    return generated.size() >= tokens;
  }

  boolean isAttachedTo(HttpExchange other) {
    return exchange == other;
  }

  void step() {
    if (prefillSteps > 0) {
      prefillSteps--;
      return;
    }
    generated.add(adapterVersion + " token " + generated.size() + ". ");
    send();
  }

  /** Continues the answer on another exchange, from a token on. */
  void resume(HttpExchange other, int fromToken) {
    exchange = other;
    sent = Math.min(fromToken, generated.size());
    begun = false;
    send();
  }

  /** Swaps the connections of two sequences, as an engine with a routing fault would. */
  void cross(Sequence other) {
    HttpExchange mine = exchange;
    exchange = other.exchange;
    other.exchange = mine;
  }

  void abort() {
    exchange.abort();
  }

  private void send() {
    if (streamed) {
      sendStreamed();
    } else if (isDone()) {
      String text = String.join("", generated.subList(sent, generated.size()));
      String body =
          StandInEngine.encode(
              Map.of("model", adapterVersion.toString(), "choices", choices(text)));
      exchange.respond(200, headers, StandInEngine.bytes(body));
    }
  }

  private void sendStreamed() {
    if (!begun && !generated.isEmpty()) {
      exchange.begin(200, headers);
      begun = true;
    }
    while (sent < generated.size()) {
      exchange.write(event(StandInEngine.encode(Map.of("choices", choices(generated.get(sent))))));
      sent++;
    }
    if (isDone()) {
      exchange.write(event("[DONE]"));
      exchange.end();
    }
  }

  private static List<Map<String, String>> choices(String text) {
    return List.of(Map.of("text", text));
  }

  private static byte[] event(String data) {
    return StandInEngine.bytes("data: " + data + "\n\n");
  }
}
