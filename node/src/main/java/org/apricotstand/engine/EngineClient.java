package org.apricotstand.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;
import org.apricotstand.http.ReplyListener;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/**
 * Sends model requests, load and unload commands and state queries to engines.
 *
 * <pre>{@code
 * engineClient.load("10.0.0.5:9000", adapterVersion, fencing, deadlineMs).thenAccept(result -> ...);
 * }</pre>
 */
public final class EngineClient implements Service {

  private static final String NO_ANSWER = "no_answer";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient http;

  /** Creates an engine client that uses the given HTTP client. */
  public EngineClient(HttpClient http) {
    this.http = http;
  }

  /**
   * Sends a model request without retries; the listener receives the answer in parts.
   *
   * @param address IP address and port of the engine
   * @param fencing fencing token under which this instance owns the engine
   */
  public void sendRequest(
      String address, long fencing, EngineRequest request, ReplyListener listener) {
    HttpCall call =
        HttpCall.json(
                "POST",
                url(address, request.path()),
                request.body(),
                request.scheduled().deadlineMs())
            .withHeader(EngineHeaders.REQUEST_ID, request.scheduled().id().value())
            .withHeader(EngineHeaders.ATTEMPT, Integer.toString(request.scheduled().attempt()))
            .withHeader(EngineHeaders.FENCING, Long.toString(fencing))
            .withHeader(EngineHeaders.PRIORITY, request.scheduled().requestClass().name())
            .withoutReuseAfterRefusal();
    String traceparent = request.traceparent();
    http.stream(
        traceparent.isEmpty() ? call : call.withHeader(EngineHeaders.TRACEPARENT, traceparent),
        listener);
  }

  /**
   * Requests the rest of a stream whose connection broke. Uses a new connection, since the pooled
   * ones often break together with that of the stream.
   *
   * @param fromToken index of the first missing token
   */
  public void resumeStream(
      String address, long fencing, EngineRequest request, long fromToken, ReplyListener listener) {
    byte[] body =
        encode(Map.of("request_id", request.scheduled().id().value(), "from_token", fromToken));
    HttpCall call =
        HttpCall.json("POST", url(address, "/v1/resume"), body, request.scheduled().deadlineMs())
            .withHeader(EngineHeaders.FENCING, Long.toString(fencing))
            .withNewConnection();
    http.stream(call, listener);
  }

  /** Commands an engine to load an adapter version; completes when it is loaded. */
  public CompletableFuture<Result<Void>> load(
      String address, AdapterVersion adapterVersion, long fencing, long deadlineMs) {
    return sendCommand(address, "/v1/load_lora_adapter", adapterVersion, fencing, deadlineMs);
  }

  /** Commands an engine to unload an adapter version; completes when it is unloaded. */
  public CompletableFuture<Result<Void>> unload(
      String address, AdapterVersion adapterVersion, long fencing, long deadlineMs) {
    return sendCommand(address, "/v1/unload_lora_adapter", adapterVersion, fencing, deadlineMs);
  }

  /** Cancels a request at an engine; completes when the engine no longer runs it. */
  public CompletableFuture<Result<Void>> cancel(String address, String requestId, long deadlineMs) {
    byte[] body = encode(Map.of("request_id", requestId));
    HttpCall call =
        HttpCall.json("POST", url(address, "/v1/cancel"), body, deadlineMs)
            .withoutReuseAfterRefusal();
    return http.send(call).handle((reply, error) -> resultOf(address, reply, error));
  }

  /** Requests the state report of an engine. */
  public CompletableFuture<Result<EngineState>> queryState(String address, long deadlineMs) {
    HttpCall call = HttpCall.get(url(address, "/v1/state"), deadlineMs).withoutReuseAfterRefusal();
    return http.send(call)
        .handle(
            (reply, error) -> error == null ? decodeState(address, reply) : failed(address, error));
  }

  private CompletableFuture<Result<Void>> sendCommand(
      String address, String path, AdapterVersion adapterVersion, long fencing, long deadlineMs) {
    byte[] body = encode(Map.of("lora_name", adapterVersion.toString()));
    HttpCall call =
        HttpCall.json("POST", url(address, path), body, deadlineMs)
            .withHeader(EngineHeaders.FENCING, Long.toString(fencing))
            .withoutReuseAfterRefusal();
    return http.send(call).handle((reply, error) -> resultOf(address, reply, error));
  }

  private static Result<Void> resultOf(String address, HttpReply reply, Throwable error) {
    if (error != null) {
      return failed(address, error);
    }
    return reply.isSuccess() ? Result.ok(null) : Result.failed(refusal(address, reply));
  }

  private static Result<EngineState> decodeState(String address, HttpReply reply) {
    try {
      return reply.isSuccess()
          ? Result.ok(JSON.readValue(reply.body(), EngineState.class))
          : Result.failed(refusal(address, reply));
    } catch (IOException e) {
      return Result.failed(new Failure(Step.LOAD, address, "malformed_state", e.getMessage()));
    }
  }

  private static Failure refusal(String address, HttpReply reply) {
    return new Failure(Step.LOAD, address, "refused_" + reply.status(), reply.text());
  }

  private static <T> Result<T> failed(String address, Throwable error) {
    String code =
        error instanceof HttpClient.CallException call ? call.failure().code() : NO_ANSWER;
    return Result.failed(new Failure(Step.LOAD, address, code, String.valueOf(error.getMessage())));
  }

  private static String url(String address, String path) {
    return "http://" + address + path;
  }

  private static byte[] encode(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
