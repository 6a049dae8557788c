package org.apricotstand.entry;

import java.util.List;
import java.util.function.Consumer;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.http.ConnectionUse;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;

/**
 * Sends calls to the targets of a plain service. Retries failed calls on other targets as far as
 * the retry policy of the call and the retry budget allow. Must be used on the control thread.
 */
final class ServiceCallSender {

  /** Maximum number of attempts of one call, each on another target. */
  private static final int MAX_ATTEMPTS = 3;

  /** Whether a failed call may be retried. */
  enum RetryPolicy {
    /** A failed call is not retried. */
    NEVER,
    /** A call is retried only if no byte was sent to a target, so that it runs at most once. */
    WHILE_NOT_SENT,
    /** A call is retried after any failure; for calls that may run more than once. */
    ALWAYS
  }

  private final HttpClient http;
  private final ControlThread control;
  private final RetryBudget budget;
  private final Backoff backoff;
  private final Metrics metrics;
  private final Tracing tracing;
  private final int maxAnswerBytes;

  ServiceCallSender(
      HttpClient http,
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
   * Sends a call to the first target. While it fails and may be retried, sends it to the next ones.
   *
   * @param targets targets in the order of attempts; at least one
   * @param retryRatio maximum retries as a fraction of calls
   * @param onResult receives the result, once, on the control thread
   */
  void send(
      HttpRequest request,
      List<Target> targets,
      RetryPolicy retryPolicy,
      double retryRatio,
      long deadlineMs,
      Consumer<ServiceCallResult> onResult) {
    budget.setRatio(retryRatio);
    budget.recordFirstAttempt();
    new Call(request, targets, retryPolicy, deadlineMs, onResult).attempt(1);
  }

  private final class Call {
    private final HttpRequest request;
    private final List<Target> targets;
    private final RetryPolicy retryPolicy;
    private final long deadlineMs;
    private final Consumer<ServiceCallResult> onResult;

    Call(
        HttpRequest request,
        List<Target> targets,
        RetryPolicy retryPolicy,
        long deadlineMs,
        Consumer<ServiceCallResult> onResult) {
      this.request = request;
      this.targets = targets;
      this.retryPolicy = retryPolicy;
      this.deadlineMs = deadlineMs;
      this.onResult = onResult;
    }

    void attempt(int number) {
      Target target = targets.get(number - 1);
      Tracing.Hop hop =
          tracing.start(
              "service", request.header(EngineHeaders.TRACEPARENT), "target", target.name());
      HttpCall call = toHttpCall(target).withHeader(EngineHeaders.TRACEPARENT, hop.traceparent());
      http.send(call, maxAnswerBytes)
          .whenComplete(
              (reply, error) -> {
                hop.end(error == null ? "answered" : "failed");
                control.execute(() -> onAttemptEnded(number, target, reply, error));
              });
    }

    private HttpCall toHttpCall(Target target) {
      String query = request.query().isEmpty() ? "" : "?" + request.query();
      HttpCall call =
          new HttpCall(
              request.method(),
              "http://" + target.address() + request.path() + query,
              EndToEndHeaders.of(request.headers()),
              request.body(),
              deadlineMs,
              ConnectionUse.SHARED_UNTIL_REFUSAL);
      // The target may have just closed a pooled connection, and the outcome would be unknown.
      return retryPolicy == RetryPolicy.ALWAYS ? call : call.withNewConnection();
    }

    private void onAttemptEnded(int number, Target target, HttpReply reply, Throwable error) {
      if (error == null) {
        onResult.accept(new ServiceCallResult.Replied(reply));
        return;
      }
      boolean maybeSent =
          !(error instanceof HttpClient.CallException call) || call.failure().maybeSent();
      if (mayRetry(number, maybeSent) && budget.tryRetry()) {
        metrics.count("services.retried");
        long dueMs = ControlThread.nowMs() + backoff.pauseMs(number);
        control.executeAt(dueMs, () -> attempt(number + 1));
        return;
      }
      Failure failure =
          new Failure(
              maybeSent ? Step.ANSWER : Step.DISPATCH,
              target.name(),
              maybeSent ? "no_answer" : "not_sent",
              String.valueOf(error.getMessage()));
      onResult.accept(
          maybeSent
              ? new ServiceCallResult.OutcomeUnknown(failure)
              : new ServiceCallResult.NotSent(failure));
    }

    private boolean mayRetry(int number, boolean maybeSent) {
      boolean allowed =
          retryPolicy == RetryPolicy.ALWAYS
              || (retryPolicy == RetryPolicy.WHILE_NOT_SENT && !maybeSent);
      return allowed
          && number < Math.min(MAX_ATTEMPTS, targets.size())
          && ControlThread.nowMs() < deadlineMs;
    }
  }
}
