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
 * Sends a workload at its own times, whatever the answers do, and collects what the callers see.
 */
final class Driver {

  /**
   * Time beyond the request timeout that callers wait, so that the product's answer comes first.
   */
  private static final long PATIENCE_MS = 10_000;

  private final Scenario scenario;
  private final HttpClient http;
  private final List<InetSocketAddress> entries;

  /** What all callers saw, in the order of the workload. */
  record Sent(Workload workload, List<CallerView.Seen> requests, List<CallerView.Seen> orders) {}

  Driver(Scenario scenario, HttpClient http, List<InetSocketAddress> entries) {
    this.scenario = scenario;
    this.http = http;
    this.entries = entries;
  }

  Sent send(Workload workload) throws InterruptedException {
    CountDownLatch open = new CountDownLatch(workload.requests().size() + workload.orders().size());
    List<CallerView> requests = new ArrayList<>();
    List<CallerView> orders = new ArrayList<>();
    long startMs = ControlThread.nowMs();
    int order = 0;
    for (Workload.ModelRequest request : workload.requests()) {
      while (order < workload.orders().size()
          && workload.orders().get(order).atMs() <= request.atMs()) {
        orders.add(send(workload.orders().get(order++), startMs, open));
      }
      requests.add(send(request, startMs, open));
    }
    while (order < workload.orders().size()) {
      orders.add(send(workload.orders().get(order++), startMs, open));
    }
    long patienceMs = scenario.requestTimeoutMs() + 2 * PATIENCE_MS;
    if (!open.await(patienceMs, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException(open.getCount() + " calls have neither answer nor failure");
    }
    return new Sent(
        workload,
        requests.stream().map(CallerView::seen).toList(),
        orders.stream().map(CallerView::seen).toList());
  }

  private CallerView send(Workload.ModelRequest request, long startMs, CountDownLatch open)
      throws InterruptedException {
    Scenario.ClassShare share = scenario.classOf(request.adapter());
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", Scenario.adapterName(request.adapter()));
    body.put("prompt", prompt(request, share.promptCharacters()));
    body.put("max_tokens", share.tokens());
    body.put("stream", request.streamed());
    body.put("user", request.id());
    CallerView view = new CallerView(sleepUntil(startMs + request.atMs()), open);
    // One caller for each adapter, as member firms have; limits by caller would bind otherwise.
    HttpCall call =
        call(request.entry(), "/v1/completions", Json.encode(body))
            .withHeader("x-caller", Scenario.adapterName(request.adapter()));
    http.stream(call, view);
    return view;
  }

  private CallerView send(Workload.Order order, long startMs, CountDownLatch open)
      throws InterruptedException {
    CallerView view = new CallerView(sleepUntil(startMs + order.atMs()), open);
    HttpCall call =
        call(order.entry(), "/orders", "{\"drums\":4}").withHeader("x-order-id", order.identity());
    http.stream(call, view);
    return view;
  }

  private HttpCall call(int entry, String path, String body) {
    String url = "http://127.0.0.1:" + entries.get(entry).getPort() + path;
    long deadlineMs = ControlThread.nowMs() + scenario.requestTimeoutMs() + PATIENCE_MS;
    return HttpCall.json("POST", url, body.getBytes(StandardCharsets.UTF_8), deadlineMs);
  }

  /** Half of a prompt is the adapter's own preamble, which the prefix cache can keep. */
  private static String prompt(Workload.ModelRequest request, int characters) {
    String preamble = "Instructions of " + Scenario.adapterName(request.adapter()) + ". ";
    String question = "Question " + request.id() + ". ";
    return repeat(preamble, characters / 2) + repeat(question, characters / 2);
  }

  private static String repeat(String text, int characters) {
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
