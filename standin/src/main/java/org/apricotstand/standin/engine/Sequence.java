package org.apricotstand.standin.engine;

import java.util.List;
import java.util.Map;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.AdapterVersion;

/** One sequence in an engine's batch; generates one token in each step. */
final class Sequence {

  private final HttpExchange exchange;
  private final String requestId;
  private final AdapterVersion adapterVersion;
  private final Map<String, String> headers;
  private final boolean streamed;
  private final int tokens;
  private final StringBuilder text = new StringBuilder();
  private int generated;

  Sequence(
      HttpExchange exchange,
      String requestId,
      AdapterVersion adapterVersion,
      long incarnation,
      boolean streamed,
      int tokens) {
    this.exchange = exchange;
    this.requestId = requestId == null ? "" : requestId;
    this.adapterVersion = adapterVersion;
    this.streamed = streamed;
    this.tokens = tokens;
    this.headers =
        Map.of(
            "content-type",
            streamed ? "text/event-stream" : "application/json",
            EngineHeaders.ADAPTER_VERSION,
            adapterVersion.toString(),
            EngineHeaders.ENGINE_INCARNATION,
            Long.toString(incarnation));
  }

  String requestId() {
    return requestId;
  }

  boolean isDone() {
    return generated >= tokens;
  }

  void step() {
    String token = adapterVersion + " token " + generated + ". ";
    if (streamed) {
      if (generated == 0) {
        exchange.begin(200, headers);
      }
      exchange.write(event(StandInEngine.encode(Map.of("choices", choices(token)))));
    } else {
      text.append(token);
    }
    generated++;
    if (isDone()) {
      finish();
    }
  }

  void abort() {
    exchange.abort();
  }

  private void finish() {
    if (streamed) {
      exchange.write(event("[DONE]"));
      exchange.end();
    } else {
      String body =
          StandInEngine.encode(
              Map.of("model", adapterVersion.toString(), "choices", choices(text.toString())));
      exchange.respond(200, headers, StandInEngine.bytes(body));
    }
  }

  private static List<Map<String, String>> choices(String text) {
    return List.of(Map.of("text", text));
  }

  private static byte[] event(String data) {
    return StandInEngine.bytes("data: " + data + "\n\n");
  }
}
