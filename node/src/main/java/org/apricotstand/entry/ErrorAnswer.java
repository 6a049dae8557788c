package org.apricotstand.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;

/** Tells a caller that there is no answer, and whether the request was run. */
final class ErrorAnswer {

  /** Header that carries the outcome for programs that read no body. */
  static final String OUTCOME_HEADER = "x-apricotstand-outcome";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;

  private ErrorAnswer() {}

  /** Answers with the status that fits the outcome. */
  static void send(HttpExchange exchange, Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun(Failure failure) ->
          send(exchange, SERVICE_UNAVAILABLE, "not_run", failure);
      case Outcome.OutcomeUnknown(Failure failure) ->
          send(exchange, BAD_GATEWAY, "unknown", failure);
      case Outcome.Answered answered -> throw new IllegalArgumentException("not an error");
    }
  }

  /** Refuses a request that was not run. */
  static void refuse(HttpExchange exchange, int status, Failure failure) {
    send(exchange, status, "not_run", failure);
  }

  private static void send(HttpExchange exchange, int status, String outcome, Failure failure) {
    Map<String, String> error = new LinkedHashMap<>();
    error.put("code", failure.code());
    error.put("message", failure.detail());
    error.put("outcome", outcome);
    error.put("step", failure.step().name().toLowerCase(java.util.Locale.ROOT));
    error.put("peer", failure.peer());
    Map<String, String> headers =
        Map.of("content-type", "application/json", OUTCOME_HEADER, outcome);
    exchange.respond(
        status, headers, encode(Map.of("error", error)).getBytes(StandardCharsets.UTF_8));
  }

  private static String encode(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
