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
import org.apricotstand.http.HttpCaller;
import org.apricotstand.http.HttpReply;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/**
 * Speaks to the platform's table service, object store and instance list over HTTP.
 *
 * <pre>{@code
 * platform.read("heads", "head", deadlineMs).thenAccept(result -> ...);
 * }</pre>
 */
public final class PlatformClient implements Service, TableService, ObjectStore, InstanceList {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * The client ends a call at its deadline; this long after it, the call counts as ended anyway.
   */
  private static final long GRACE_MS = 5_000;

  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;

  private final HttpCaller http;
  private final String baseUrl;
  private final CallQueue queue;
  private final LongAdder reads = new LongAdder();
  private final LongAdder writes = new LongAdder();

  /**
   * Creates a client.
   *
   * @param baseUrl URL of the platform without a trailing slash
   */
  public PlatformClient(HttpCaller http, String baseUrl) {
    this.http = http;
    this.baseUrl = baseUrl;
    this.queue = new CallQueue(baseUrl, ControlThread::nowMs, new SplittableRandom());
  }

  /** Returns the number of reads that were sent. */
  public long reads() {
    return reads.sum();
  }

  /** Returns the number of writes that were sent. */
  public long writes() {
    return writes.sum();
  }

  /** Returns the number of calls that wait to be sent. */
  public int waiting() {
    return queue.waiting();
  }

  /** Returns whether the platform is taken to be down. */
  public boolean isDown() {
    return queue.isOpen();
  }

  @Override
  public CompletableFuture<Result<CommitResult>> commit(Transaction transaction, long deadlineMs) {
    HttpCall call =
        HttpCall.json("POST", baseUrl + "/tables/commit", encode(transaction), deadlineMs);
    return readable(
        exchange(priorityOf(transaction), call)
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
    if (reply.status() == CONFLICT) {
      return Result.ok(decode(reply, CommitResult.Conflict.class));
    }
    return Result.failed(unexpected(reply));
  }

  @Override
  public CompletableFuture<Result<Optional<Row>>> read(String table, String key, long deadlineMs) {
    String url = baseUrl + "/tables/" + encode(table) + "/rows/" + encode(key);
    return readable(
        fetch(CallPriority.ofTable(table), url, deadlineMs)
            .thenApply(r -> r.map(o -> o.map(b -> decode(b, Row.class)))));
  }

  @Override
  public CompletableFuture<Result<List<Row>>> scan(String table, String prefix, long deadlineMs) {
    String url = baseUrl + "/tables/" + encode(table) + "/rows?prefix=" + encode(prefix);
    return readable(
        fetch(CallPriority.ofTable(table), url, deadlineMs)
            .thenApply(r -> r.map(o -> decodeList(o, new TypeReference<List<Row>>() {}))));
  }

  @Override
  public CompletableFuture<Result<Void>> put(String key, byte[] content, long deadlineMs) {
    String url = baseUrl + "/objects/" + encode(key);
    return write(CallPriority.CONFIGURATION, HttpCall.json("PUT", url, content, deadlineMs));
  }

  @Override
  public CompletableFuture<Result<Optional<byte[]>>> get(String key, long deadlineMs) {
    return fetch(CallPriority.CONFIGURATION, baseUrl + "/objects/" + encode(key), deadlineMs);
  }

  @Override
  public CompletableFuture<Result<List<Listed>>> list(long deadlineMs) {
    return readable(
        fetch(CallPriority.STATUS, baseUrl + "/instances", deadlineMs)
            .thenApply(r -> r.map(o -> decodeList(o, new TypeReference<List<Listed>>() {}))));
  }

  @Override
  public CompletableFuture<Result<Void>> announce(Listed self, long deadlineMs) {
    return write(
        CallPriority.STATUS,
        HttpCall.json("POST", baseUrl + "/instances", encode(self), deadlineMs));
  }

  private CompletableFuture<Result<Void>> write(CallPriority priority, HttpCall call) {
    return exchange(priority, call)
        .thenApply(
            result ->
                switch (result) {
                  case Result.Ok<HttpReply>(HttpReply reply) when reply.isSuccess() ->
                      Result.ok(null);
                  case Result.Ok<HttpReply>(HttpReply reply) -> Result.failed(unexpected(reply));
                  case Result.Failed<HttpReply>(Failure failure) -> Result.failed(failure);
                });
  }

  private CompletableFuture<Result<Optional<byte[]>>> fetch(
      CallPriority priority, String url, long deadlineMs) {
    return exchange(priority, HttpCall.get(url, deadlineMs))
        .thenApply(
            result ->
                switch (result) {
                  case Result.Ok<HttpReply>(HttpReply reply) when reply.isSuccess() ->
                      Result.ok(Optional.of(reply.body()));
                  case Result.Ok<HttpReply>(HttpReply reply) when reply.status() == NOT_FOUND ->
                      Result.ok(Optional.empty());
                  case Result.Ok<HttpReply>(HttpReply reply) -> Result.failed(unexpected(reply));
                  case Result.Failed<HttpReply>(Failure failure) -> Result.failed(failure);
                });
  }

  /** Turns an answer that cannot be read into a failure; a write may have taken effect. */
  private <T> CompletableFuture<Result<T>> readable(CompletableFuture<Result<T>> answer) {
    return answer.exceptionally(
        error ->
            Result.failed(new Failure(Step.PLATFORM, baseUrl, UNKNOWN, String.valueOf(error))));
  }

  private CompletableFuture<Result<HttpReply>> exchange(CallPriority priority, HttpCall call) {
    return queue.submit(priority, call.deadlineMs(), () -> send(call));
  }

  private CompletableFuture<Result<HttpReply>> send(HttpCall call) {
    (call.method().equals("GET") ? reads : writes).increment();
    long giveUpMs = call.deadlineMs() - ControlThread.nowMs() + GRACE_MS;
    return http.send(call)
        .handle((reply, error) -> error == null ? Result.<HttpReply>ok(reply) : lost(error))
        .completeOnTimeout(
            Result.failed(new Failure(Step.PLATFORM, baseUrl, UNKNOWN, "the call did not end")),
            giveUpMs,
            TimeUnit.MILLISECONDS);
  }

  private Result<HttpReply> lost(Throwable error) {
    if (error instanceof HttpCaller.CallException call) {
      CallFailure failure = call.failure();
      String code = failure.sent() ? UNKNOWN : UNREACHABLE;
      return Result.failed(
          new Failure(Step.PLATFORM, baseUrl, code, failure.code() + " " + failure.detail()));
    }
    return Result.failed(new Failure(Step.PLATFORM, baseUrl, UNKNOWN, error.toString()));
  }

  private Failure unexpected(HttpReply reply) {
    return new Failure(Step.PLATFORM, baseUrl, UNKNOWN, "status " + reply.status());
  }

  private static <T> List<T> decodeList(Optional<byte[]> body, TypeReference<List<T>> type) {
    try {
      return body.isEmpty() ? List.of() : JSON.readValue(body.get(), type);
    } catch (IOException e) {
      throw new IllegalStateException("malformed answer of the platform", e);
    }
  }

  private static <T> T decode(HttpReply reply, Class<T> type) {
    return decode(reply.body(), type);
  }

  private static <T> T decode(byte[] body, Class<T> type) {
    try {
      return JSON.readValue(body, type);
    } catch (IOException e) {
      throw new IllegalStateException("malformed answer of the platform", e);
    }
  }

  private static byte[] encode(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String encode(String part) {
    return URLEncoder.encode(part, StandardCharsets.UTF_8);
  }

  /** Returns a JSON tree of a value, for a row. */
  public static JsonNode tree(Object value) {
    return JSON.valueToTree(value);
  }
}
