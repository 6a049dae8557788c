package org.apricotstand.entry;

import java.util.List;
import java.util.function.Consumer;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.http.HttpReply;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;

/**
 * Sends calls to the targets of a plain service, with further attempts where the call allows them
 * and the retry budget lasts. Used on the control thread.
 */
final class ServiceCalls {

  /** Attempts of one call, each on another target. */
  private static final int MAX_ATTEMPTS = 3;

  /** When a further attempt may follow a failed one. */
  enum Retry {
    /** Never. */
    NEVER,
    /** While no byte went to a target: the call still runs at most once. */
    WHILE_NOT_SENT,
    /** After any failure: running the call again does no harm. */
    ALWAYS
  }

  private final HttpCaller http;
  private final ControlThread control;
  private final RetryBudget budget;
  private final Backoff backoff;
  private final Metrics metrics;
  private final Tracing tracing;
  private final int maxAnswerBytes;

  ServiceCalls(
      HttpCaller http,
      ControlThread control,
      RetryBudget budget,
      Backoff backoff,
      Metrics metrics,
      Tracing tracing,
      int maxAnswerBytes) {
    this.http = http;
    this.control = control;
    this.budget = budget;
    this.backoff = backoff;
    this.metrics = metrics;
    this.tracing = tracing;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Sends a call to the first target, and to the next ones when it fails and may be retried.
   *
   * @param retryRatio retries as a fraction of calls
   * @param done takes the ending, once, on the control thread
   */
  void send(
      HttpRequest request,
      List<Target> targets,
      Retry retry,
      double retryRatio,
      long deadlineMs,
      Consumer<ServiceEnd> done) {
    budget.setFraction(retryRatio);
    budget.recordFirstAttempt();
    new Call(request, targets, retry, deadlineMs, done).attempt(1);
  }

  private final class Call {
    private final HttpRequest request;
    private final List<Target> targets;
    private final Retry retry;
    private final long deadlineMs;
    private final Consumer<ServiceEnd> done;

    Call(
        HttpRequest request,
        List<Target> targets,
        Retry retry,
        long deadlineMs,
        Consumer<ServiceEnd> done) {
      this.request = request;
      this.targets = targets;
      this.retry = retry;
      this.deadlineMs = deadlineMs;
      this.done = done;
    }

    void attempt(int number) {
      Target target = targets.get(number - 1);
      Tracing.Hop hop =
          tracing.start(
              "service", request.header(EngineHeaders.TRACEPARENT), "target", target.name());
      HttpCall call = toCall(target).with(EngineHeaders.TRACEPARENT, hop.traceparent());
      http.send(call, maxAnswerBytes)
          .whenComplete(
              (reply, error) -> {
                hop.end(error == null ? "answered" : "failed");
                control.execute(() -> ended(number, target, reply, error));
              });
    }

    private HttpCall toCall(Target target) {
      String query = request.query().isEmpty() ? "" : "?" + request.query();
      HttpCall call =
          new HttpCall(
              request.method(),
              "http://" + target.address() + request.path() + query,
              EndToEndHeaders.of(request.headers()),
              request.body(),
              deadlineMs,
              true);
      // On a pooled connection that the target has just closed, the call would end as unknown.
      return retry == Retry.ALWAYS ? call : call.onFreshConnection();
    }

    private void ended(int number, Target target, HttpReply reply, Throwable error) {
      if (error == null) {
        done.accept(new ServiceEnd.Replied(reply));
        return;
      }
      boolean sent = !(error instanceof HttpCaller.CallException call) || call.failure().sent();
      if (mayRetry(number, sent) && budget.tryRetry()) {
        metrics.count("services.retried");
        long dueMs = ControlThread.nowMs() + backoff.pauseMs(number);
        control.executeAt(dueMs, () -> attempt(number + 1));
        return;
      }
      Failure failure =
          new Failure(
              sent ? Step.ANSWER : Step.DISPATCH,
              target.name(),
              sent ? "no_answer" : "not_sent",
              String.valueOf(error.getMessage()));
      done.accept(sent ? new ServiceEnd.Lost(failure) : new ServiceEnd.NotSent(failure));
    }

    private boolean mayRetry(int number, boolean sent) {
      boolean allowed = retry == Retry.ALWAYS || (retry == Retry.WHILE_NOT_SENT && !sent);
      return allowed
          && number < Math.min(MAX_ATTEMPTS, targets.size())
          && ControlThread.nowMs() < deadlineMs;
    }
  }
}
