package org.apricotstand.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.claim.ClaimCodes;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;

/** Sends an error to a caller, which says whether the request was not run or may have been run. */
final class ErrorAnswer {

  /** Header that carries the outcome, for callers that don't read the body. */
  static final String OUTCOME_HEADER = "x-apricotstand-outcome";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int UNPROCESSABLE = 422;
  private static final long MS_PER_S = 1_000;

  private ErrorAnswer() {}

  /**
   * Sends an error with the status for the outcome.
   *
   * @throws IllegalArgumentException if the outcome is {@link Outcome.Answered}
   */
  static void send(HttpExchange exchange, Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun(Failure failure) ->
          send(exchange, statusOf(failure), "not_run", failure, Map.of());
      case Outcome.OutcomeUnknown(Failure failure) ->
          send(exchange, BAD_GATEWAY, "unknown", failure, Map.of());
      case Outcome.Answered answered ->
          throw new IllegalArgumentException("an answered request has no error");
    }
  }

  /** Refuses a request that was not run. */
  static void refuse(HttpExchange exchange, int status, Failure failure) {
    send(exchange, status, "not_run", failure, Map.of());
  }

  /**
   * Refuses a request that was not run and may be sent again after a time, which is rounded up to
   * whole seconds in the answer.
   */
  static void refuse(HttpExchange exchange, int status, Failure failure, long retryAfterMs) {
    long seconds = Math.max(1, (retryAfterMs + MS_PER_S - 1) / MS_PER_S);
    send(exchange, status, "not_run", failure, Map.of("retry-after", Long.toString(seconds)));
  }

  /**
   * Returns 422 for a request whose identity was used by a different request, as it would fail
   * again, and 503 for all others, which may be sent again.
   */
  private static int statusOf(Failure failure) {
    return failure.code().equals(ClaimCodes.IDEMPOTENCY_KEY_REUSED)
        ? UNPROCESSABLE
        : SERVICE_UNAVAILABLE;
  }

  private static void send(
      HttpExchange exchange,
      int status,
      String outcome,
      Failure failure,
      Map<String, String> moreHeaders) {
    Map<String, String> error = new LinkedHashMap<>();
    error.put("code", failure.code());
    error.put("message", failure.detail());
    error.put("outcome", outcome);
    error.put("step", failure.step().name().toLowerCase(java.util.Locale.ROOT));
    error.put("peer", failure.peer());
    Map<String, String> headers = new LinkedHashMap<>(moreHeaders);
    headers.put("content-type", "application/json");
    headers.put(OUTCOME_HEADER, outcome);
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
