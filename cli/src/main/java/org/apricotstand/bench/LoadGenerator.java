package org.apricotstand.bench;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;

/**
 * Sends the requests of a workload at their arrival times (open loop, independent of the answers)
 * and records the replies.
 */
final class LoadGenerator {

  /**
   * Time that callers wait beyond the request timeout, so that the entry instance reports a timeout
   * before the caller gives up.
   */
  private static final long CALLER_TIMEOUT_MARGIN_MS = 10_000;

  private final Scenario scenario;
  private final HttpClient http;
  private final List<InetSocketAddress> entries;

  /** A workload and the replies to its requests and orders, in the same order. */
  record SentWorkload(
      Workload workload,
      List<ReplyRecorder.RecordedReply> requestReplies,
      List<ReplyRecorder.RecordedReply> orderReplies) {}

  LoadGenerator(Scenario scenario, HttpClient http, List<InetSocketAddress> entries) {
    this.scenario = scenario;
    this.http = http;
    this.entries = entries;
  }

  /**
   * Sends the workload and waits until all calls have ended.
   *
   * @throws IllegalStateException if a call has neither an answer nor a failure in time
   */
  SentWorkload send(Workload workload) throws InterruptedException {
    CountDownLatch pendingReplies =
        new CountDownLatch(workload.requests().size() + workload.orders().size());
    List<ReplyRecorder> requests = new ArrayList<>();
    List<ReplyRecorder> orders = new ArrayList<>();
    long startMs = ControlThread.nowMs();
    int nextOrder = 0;
    for (Workload.ModelRequest request : workload.requests()) {
      while (nextOrder < workload.orders().size()
          && workload.orders().get(nextOrder).atMs() <= request.atMs()) {
        orders.add(send(workload.orders().get(nextOrder++), startMs, pendingReplies));
      }
      requests.add(send(request, startMs, pendingReplies));
    }
    while (nextOrder < workload.orders().size()) {
      orders.add(send(workload.orders().get(nextOrder++), startMs, pendingReplies));
    }
    long timeoutMs = scenario.requestTimeoutMs() + 2 * CALLER_TIMEOUT_MARGIN_MS;
    if (!pendingReplies.await(timeoutMs, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException(
          pendingReplies.getCount() + " calls received neither an answer nor a failure");
    }
    return new SentWorkload(
        workload,
        requests.stream().map(ReplyRecorder::recordedReply).toList(),
        orders.stream().map(ReplyRecorder::recordedReply).toList());
  }

  private ReplyRecorder send(
      Workload.ModelRequest request, long startMs, CountDownLatch pendingReplies)
      throws InterruptedException {
    Scenario.ClassShare classShare = scenario.classOf(request.adapter());
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", Scenario.adapterName(request.adapter()));
    body.put("prompt", prompt(request, classShare.promptCharacters()));
    body.put("max_tokens", classShare.tokens());
    body.put("stream", request.streamed());
    body.put("user", request.id());
    ReplyRecorder recorder =
        new ReplyRecorder(sleepUntil(startMs + request.atMs()), pendingReplies);
    // Each adapter has its own caller, as when each firm uses its own adapter. With one caller for
    // all adapters, the limits per caller would refuse requests.
    HttpCall call =
        createCall(request.entry(), "/v1/completions", Json.encode(body))
            .withHeader("x-caller", Scenario.adapterName(request.adapter()));
    http.stream(call, recorder);
    return recorder;
  }

  private ReplyRecorder send(Workload.Order order, long startMs, CountDownLatch pendingReplies)
      throws InterruptedException {
    ReplyRecorder recorder = new ReplyRecorder(sleepUntil(startMs + order.atMs()), pendingReplies);
    HttpCall call =
        createCall(order.entry(), "/orders", "{\"drums\":4}")
            .withHeader("x-order-id", order.identity());
    http.stream(call, recorder);
    return recorder;
  }

  private HttpCall createCall(int entry, String path, String body) {
    String url = "http://127.0.0.1:" + entries.get(entry).getPort() + path;
    long deadlineMs =
        ControlThread.nowMs() + scenario.requestTimeoutMs() + CALLER_TIMEOUT_MARGIN_MS;
    return HttpCall.json("POST", url, body.getBytes(StandardCharsets.UTF_8), deadlineMs);
  }

  /** Returns a prompt whose first half is the same for an adapter, so that it can be cached. */
  private static String prompt(Workload.ModelRequest request, int characters) {
    String preamble = "Instructions of " + Scenario.adapterName(request.adapter()) + ". ";
    String question = "Question " + request.id() + ". ";
    return repeatToLength(preamble, characters / 2) + repeatToLength(question, characters / 2);
  }

  private static String repeatToLength(String text, int characters) {
    return text.repeat(characters / text.length() + 1).substring(0, characters);
  }

  private static long sleepUntil(long dueMs) throws InterruptedException {
    long waitMs = dueMs - ControlThread.nowMs();
    if (waitMs > 0) {
      Thread.sleep(waitMs);
    }
    return dueMs;
  }
}
