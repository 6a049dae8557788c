package org.apricotstand.entry;

import java.util.Map;
import java.util.Optional;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.kernel.Service;
import org.apricotstand.limit.AdmissionLimits;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.Step;
import org.apricotstand.observe.Metrics;

/** Admits requests within the limits of their caller and class. Used on the control thread. */
final class Admission implements Service {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final long RETRY_AFTER_MS = 1_000;

  private final InstanceId self;
  private final ControlThread control;
  private final Metrics metrics;
  private final AdmissionLimits limits = new AdmissionLimits(AdmissionLimits.Limits.DEFAULT);

  Admission(InstanceId self, ControlThread control, Metrics metrics) {
    this.self = self;
    this.control = control;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    metrics.gauge("entry.in_progress", limits::inProgress);
  }

  /** Takes the limits of a policy. */
  void limitBy(DeclarationSet.Policy policy) {
    int perClass = policy.maxInProgressPerClass();
    limits.limitTo(
        new AdmissionLimits.Limits(
            policy.maxInProgressPerCaller(),
            Map.of(
                RequestClass.INTERACTIVE, perClass,
                RequestClass.STANDARD, perClass,
                // Work that is due within hours leaves room for requests that somebody waits for.
                RequestClass.BACKGROUND, Math.max(1, perClass / 2))));
  }

  /**
   * Admits a request, or answers the caller that it is refused.
   *
   * @return what must run when the request has ended; it may run more than once and on any thread
   */
  Optional<Runnable> admit(HttpExchange exchange, RequestClass requestClass) {
    String caller = CallerName.of(exchange.request());
    Optional<String> refusal = limits.admit(caller, requestClass);
    if (refusal.isPresent()) {
      metrics.count("entry.refused");
      refuse(exchange, refusal.get(), "too many requests in progress", RETRY_AFTER_MS);
      return Optional.empty();
    }
    java.util.concurrent.atomic.AtomicBoolean open =
        new java.util.concurrent.atomic.AtomicBoolean(true);
    return Optional.of(
        () -> {
          if (open.getAndSet(false)) {
            control.execute(() -> limits.release(caller, requestClass));
          }
        });
  }

  /** Refuses a request that may be sent again after a time. */
  void refuse(HttpExchange exchange, String code, String detail, long retryAfterMs) {
    ErrorAnswer.refuse(
        exchange,
        TOO_MANY_REQUESTS,
        new Failure(Step.ADMISSION, self.value(), code, detail),
        retryAfterMs);
  }
}
