package org.apricotstand.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/**
 * HTTP client of the table service, the object store and the instance list of the platform.
 *
 * <pre>{@code
 * platform.read("heads", "head", deadlineMs).thenAccept(result -> ...);
 * }</pre>
 */
public final class PlatformClient implements Service, TableService, ObjectStore, InstanceList {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Time after its deadline at which a call counts as failed even if the HTTP client, which ends
   * calls at the deadline, has not reported its end.
   */
  private static final long END_GRACE_MS = 5_000;

  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_NOT_FOUND = 404;

  private final HttpClient http;
  private final String baseUrl;
  private final CallQueue queue;
  private final LongAdder readCount = new LongAdder();
  private final LongAdder writeCount = new LongAdder();

  /**
   * Creates a client.
   *
   * @param baseUrl URL of the platform without a trailing slash
   */
  public PlatformClient(HttpClient http, String baseUrl) {
    this.http = http;
    this.baseUrl = baseUrl;
    this.queue = new CallQueue(baseUrl, ControlThread::nowMs, new SplittableRandom());
  }

  /** Returns the number of reads that were sent. */
  public long readCount() {
    return readCount.sum();
  }

  /** Returns the number of writes that were sent. */
  public long writeCount() {
    return writeCount.sum();
  }

  /** Returns the number of calls that wait to be sent. */
  public int waitingCalls() {
    return queue.waitingCalls();
  }

  /** Returns whether the platform counts as down because it has not answered recent calls. */
  public boolean isDown() {
    return queue.isCircuitOpen();
  }

  @Override
  public CompletableFuture<Result<CommitResult>> commit(Transaction transaction, long deadlineMs) {
    HttpCall call =
        HttpCall.json("POST", baseUrl + "/tables/commit", encode(transaction), deadlineMs);
    return failWhenUnreadable(
        enqueue(priorityOf(transaction), call)
            .thenApply(
                result ->
                    switch (result) {
                      case Result.Ok<HttpReply>(HttpReply reply) -> commitResult(reply);
                      case Result.Failed<HttpReply>(Failure failure) -> Result.failed(failure);
                    }));
  }

  private static CallPriority priorityOf(Transaction transaction) {
    return transaction.writes().stream()
        .map(write -> CallPriority.ofTable(write.table()))
        .min(Comparator.naturalOrder())
        .orElse(CallPriority.STATUS);
  }

  private Result<CommitResult> commitResult(HttpReply reply) {
    if (reply.isSuccess()) {
      return Result.ok(decode(reply, CommitResult.Committed.class));
    }
    if (reply.status() == STATUS_CONFLICT) {
      return Result.ok(decode(reply, CommitResult.Conflict.class));
    }
    return Result.failed(unexpectedStatus(reply));
  }

  @Override
  public CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs) {
    String url = baseUrl + "/tables/" + urlEncode(table) + "/rows/" + urlEncode(key);
    return failWhenUnreadable(
        fetch(CallPriority.ofTable(table), url, deadlineMs)
            .thenApply(result -> result.map(found -> found.map(body -> decode(body, Row.class)))));
  }

  @Override
  public CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs) {
    String url = baseUrl + "/tables/" + urlEncode(table) + "/rows?prefix=" + urlEncode(prefix);
    return failWhenUnreadable(
        fetch(CallPriority.ofTable(table), url, deadlineMs)
            .thenApply(
                result -> result.map(body -> decodeList(body, new TypeReference<List<Row>>() {}))));
  }

  @Override
  public CompletableFuture<Result<Void>> put(String key, byte[] content, long deadlineMs) {
    String url = baseUrl + "/objects/" + urlEncode(key);
    return write(CallPriority.CONFIGURATION, HttpCall.json("PUT", url, content, deadlineMs));
  }

  @Override
  public CompletableFuture<Result<Optional<byte[]>>> get(String key, long deadlineMs) {
    return fetch(CallPriority.CONFIGURATION, baseUrl + "/objects/" + urlEncode(key), deadlineMs);
  }

  @Override
  public CompletableFuture<Result<List<ListEntry>>> list(long deadlineMs) {
    return failWhenUnreadable(
        fetch(CallPriority.STATUS, baseUrl + "/instances", deadlineMs)
            .thenApply(
                result ->
                    result.map(body -> decodeList(body, new TypeReference<List<ListEntry>>() {}))));
  }

  @Override
  public CompletableFuture<Result<Void>> announce(ListEntry self, long deadlineMs) {
    return write(
        CallPriority.STATUS,
        HttpCall.json("POST", baseUrl + "/instances", encode(self), deadlineMs));
  }

  private CompletableFuture<Result<Void>> write(CallPriority priority, HttpCall call) {
    return enqueue(priority, call)
        .thenApply(
            result ->
                switch (result) {
                  case Result.Ok<HttpReply>(HttpReply reply) when reply.isSuccess() ->
                      Result.ok(null);
                  case Result.Ok<HttpReply>(HttpReply reply) ->
                      Result.failed(unexpectedStatus(reply));
                  case Result.Failed<HttpReply>(Failure failure) -> Result.failed(failure);
                });
  }

  private CompletableFuture<Result<Optional<byte[]>>> fetch(
      CallPriority priority, String url, long deadlineMs) {
    return enqueue(priority, HttpCall.get(url, deadlineMs))
        .thenApply(
            result ->
                switch (result) {
                  case Result.Ok<HttpReply>(HttpReply reply) when reply.isSuccess() ->
                      Result.ok(Optional.of(reply.body()));
                  case Result.Ok<HttpReply>(HttpReply reply)
                      when reply.status() == STATUS_NOT_FOUND ->
                      Result.ok(Optional.empty());
                  case Result.Ok<HttpReply>(HttpReply reply) ->
                      Result.failed(unexpectedStatus(reply));
                  case Result.Failed<HttpReply>(Failure failure) -> Result.failed(failure);
                });
  }

  /**
   * Turns an answer that cannot be decoded into a failure with an unknown outcome, because a write
   * may have taken effect.
   */
  private <T> CompletableFuture<Result<T>> failWhenUnreadable(CompletableFuture<Result<T>> answer) {
    return answer.exceptionally(
        error ->
            Result.failed(
                new Failure(Step.PLATFORM, baseUrl, OUTCOME_UNKNOWN, String.valueOf(error))));
  }

  private CompletableFuture<Result<HttpReply>> enqueue(CallPriority priority, HttpCall call) {
    return queue.submit(priority, call.deadlineMs(), () -> send(call));
  }

  private CompletableFuture<Result<HttpReply>> send(HttpCall call) {
    (call.method().equals("GET") ? readCount : writeCount).increment();
    long timeoutMs = call.deadlineMs() - ControlThread.nowMs() + END_GRACE_MS;
    return http.send(call)
        .handle((reply, error) -> error == null ? Result.<HttpReply>ok(reply) : failureOf(error))
        .completeOnTimeout(
            Result.failed(
                new Failure(
                    Step.PLATFORM,
                    baseUrl,
                    OUTCOME_UNKNOWN,
                    "the HTTP client did not report the end of the call")),
            timeoutMs,
            TimeUnit.MILLISECONDS);
  }

  private Result<HttpReply> failureOf(Throwable error) {
    if (error instanceof HttpClient.CallException call) {
      CallFailure failure = call.failure();
      String code = failure.maybeSent() ? OUTCOME_UNKNOWN : UNREACHABLE;
      return Result.failed(
          new Failure(Step.PLATFORM, baseUrl, code, failure.code() + " " + failure.detail()));
    }
    return Result.failed(new Failure(Step.PLATFORM, baseUrl, OUTCOME_UNKNOWN, error.toString()));
  }

  private Failure unexpectedStatus(HttpReply reply) {
    return new Failure(Step.PLATFORM, baseUrl, OUTCOME_UNKNOWN, "status " + reply.status());
  }

  private static <T> List<T> decodeList(Optional<byte[]> body, TypeReference<List<T>> type) {
    try {
      return body.isEmpty() ? List.of() : JSON.readValue(body.get(), type);
    } catch (IOException e) {
      throw new IllegalStateException("malformed answer from the platform", e);
    }
  }

  private static <T> T decode(HttpReply reply, Class<T> type) {
    return decode(reply.body(), type);
  }

  private static <T> T decode(byte[] body, Class<T> type) {
    try {
      return JSON.readValue(body, type);
    } catch (IOException e) {
      throw new IllegalStateException("malformed answer from the platform", e);
    }
  }

  private static byte[] encode(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String urlEncode(String part) {
    return URLEncoder.encode(part, StandardCharsets.UTF_8);
  }

  /** Converts a value to the JSON tree that is stored in a row. */
  public static JsonNode toJsonTree(Object value) {
    return JSON.valueToTree(value);
  }
}
