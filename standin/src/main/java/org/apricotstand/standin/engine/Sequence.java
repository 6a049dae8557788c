package org.apricotstand.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;

/** A sequence in an engine's batch. After its prefill steps it generates one token in each step. */
final class Sequence {

  private final String requestId;
  private final int attempt;
  private final AdapterVersion adapterVersion;
  private final RequestClass priority;
  private final String prompt;
  private final String user;
  private final boolean streamed;
  private final int tokenCount;
  private final Map<String, String> answerHeaders = new LinkedHashMap<>();
  private final List<String> generatedTokens = new ArrayList<>();
  private HttpExchange exchange;
  private int sentTokenCount;
  private boolean answerStarted;
  private int remainingPrefillSteps;

  Sequence(
      HttpExchange exchange,
      AdapterVersion adapterVersion,
      long incarnation,
      String prompt,
      String user,
      boolean streamed,
      int tokenCount) {
    this.exchange = exchange;
    this.requestId = headerOrDefault(exchange, EngineHeaders.REQUEST_ID, "");
    this.attempt = Integer.parseInt(headerOrDefault(exchange, EngineHeaders.ATTEMPT, "1"));
    this.priority = priorityOf(headerOrDefault(exchange, EngineHeaders.PRIORITY, "STANDARD"));
    this.adapterVersion = adapterVersion;
    this.prompt = prompt;
    this.user = user;
    this.streamed = streamed;
    this.tokenCount = tokenCount;
    answerHeaders.put("content-type", streamed ? "text/event-stream" : "application/json");
    answerHeaders.put(EngineHeaders.ADAPTER_VERSION, adapterVersion.toString());
    answerHeaders.put(EngineHeaders.ENGINE_INCARNATION, Long.toString(incarnation));
    answerHeaders.put(EngineHeaders.REQUEST_ID, requestId);
    answerHeaders.put(EngineHeaders.ATTEMPT, Integer.toString(attempt));
  }

  private static String headerOrDefault(HttpExchange exchange, String name, String defaultValue) {
    String value = exchange.request().header(name);
    return value == null ? defaultValue : value;
  }

  /** Returns the request class of a name, or STANDARD when the name is unknown. */
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

  void setPrefillSteps(int steps) {
    remainingPrefillSteps = steps;
  }

  boolean isDone() {
    return generatedTokens.size() >= tokenCount;
  }

  boolean isAttachedTo(HttpExchange other) {
    return exchange == other;
  }

  /** Runs one step: a prefill step, or one that generates a token and sends what is due. */
  void step() {
    if (remainingPrefillSteps > 0) {
      remainingPrefillSteps--;
      return;
    }
    generatedTokens.add(adapterVersion + " token " + generatedTokens.size() + ". ");
    sendNewTokens();
  }

  /** Continues the answer on another exchange, starting with the token of the given index. */
  void resume(HttpExchange newExchange, int fromToken) {
    exchange = newExchange;
    sentTokenCount = Math.min(fromToken, generatedTokens.size());
    answerStarted = false;
    sendNewTokens();
  }

  /** Swaps the exchanges of two sequences; simulates an engine that answers the wrong callers. */
  void swapExchanges(Sequence other) {
    HttpExchange previous = exchange;
    exchange = other.exchange;
    other.exchange = previous;
  }

  void abort() {
    exchange.abort();
  }

  private void sendNewTokens() {
    if (streamed) {
      streamNewTokens();
    } else if (isDone()) {
      String text =
          String.join("", generatedTokens.subList(sentTokenCount, generatedTokens.size()));
      String body =
          StandInEngine.toJson(
              Map.of("model", adapterVersion.toString(), "choices", choices(text)));
      exchange.respond(200, answerHeaders, StandInEngine.toUtf8(body));
    }
  }

  private void streamNewTokens() {
    if (!answerStarted && !generatedTokens.isEmpty()) {
      exchange.begin(200, answerHeaders);
      answerStarted = true;
    }
    while (sentTokenCount < generatedTokens.size()) {
      exchange.write(
          event(
              StandInEngine.toJson(
                  Map.of("choices", choices(generatedTokens.get(sentTokenCount))))));
      sentTokenCount++;
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
    return StandInEngine.toUtf8("data: " + data + "\n\n");
  }
}
