package org.apricotstand.entry;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Policy;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.kernel.Service;
import org.apricotstand.limit.AdmissionLimits;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.Step;
import org.apricotstand.observe.Metrics;

/**
 * Admits requests within the limits of their caller, class and adapter, and refuses the others.
 * Must be used on the control thread.
 */
final class Admission implements Service {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final long RETRY_AFTER_MS = 1_000;

  private final InstanceId self;
  private final ControlThread control;
  private final Metrics metrics;
  private final AdmissionLimits limits = new AdmissionLimits();

  Admission(InstanceId self, ControlThread control, Metrics metrics) {
    this.self = self;
    this.control = control;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    metrics.gauge("entry.in_progress", limits::inProgress);
  }

  /**
   * Admits a call to a plain service, or sends a refusal to its caller.
   *
   * @return action that must run when the request has ended; it may run more than once and on any
   *     thread. Empty if the call was refused.
   */
  Optional<Runnable> admit(HttpExchange exchange, RequestClass requestClass, Policy policy) {
    return admit(exchange, requestClass, policy, "", Integer.MAX_VALUE);
  }

  /**
   * Admits a model request, or sends a refusal to its caller. The adapter's limit of requests in
   * progress applies too. Returns the same as for a call to a plain service.
   */
  Optional<Runnable> admit(
      HttpExchange exchange, RequestClass requestClass, Policy policy, Adapter adapter) {
    int limit = adapter.maxInFlight() == null ? Integer.MAX_VALUE : adapter.maxInFlight();
    return admit(exchange, requestClass, policy, adapter.name(), limit);
  }

  private Optional<Runnable> admit(
      HttpExchange exchange,
      RequestClass requestClass,
      Policy policy,
      String adapter,
      int adapterLimit) {
    AdmissionLimits.Request request =
        new AdmissionLimits.Request(CallerName.of(exchange.request()), requestClass, adapter);
    Optional<String> refusal =
        limits.admit(
            request,
            new AdmissionLimits.Limits(
                policy.maxInProgressPerCaller(), policy.maxInProgressPerClass(), adapterLimit));
    if (refusal.isPresent()) {
      metrics.count("entry.refused");
      refuse(exchange, refusal.get(), "too many requests in progress", RETRY_AFTER_MS);
      return Optional.empty();
    }
    AtomicBoolean admitted = new AtomicBoolean(true);
    return Optional.of(
        () -> {
          if (admitted.getAndSet(false)) {
            control.execute(() -> limits.release(request));
          }
        });
  }

  /** Refuses a request that the caller may send again after the given time. */
  void refuse(HttpExchange exchange, String code, String detail, long retryAfterMs) {
    ErrorAnswer.refuse(
        exchange,
        TOO_MANY_REQUESTS,
        new Failure(Step.ADMISSION, self.value(), code, detail),
        retryAfterMs);
  }
}
