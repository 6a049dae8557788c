package org.apricotstand.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.front.HopByHopHeaders;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.tenant.Tenant;
import org.apricotstand.upstream.TargetRequest;

/** Makes the request for each attempt at a target from the request of a caller. */
final class TargetRequestFactory {

  /** Difference in the urgency header between routes of successive priorities. */
  private static final int URGENCY_STEP = 2;

  private static final int MAX_URGENCY = 9;

  private final CallerRequest request;
  private final HeaderNames names;
  private final Admission admission;
  private final int priority;
  private final long callerDeadlineMs;

  /**
   * Creates a factory for one request.
   *
   * @param admission configuration and tenant under which the request was admitted
   * @param routePriority priority of the route; 0 is the highest
   * @param callerDeadlineMs monotonic time until which the caller waits
   */
  TargetRequestFactory(
      CallerRequest request,
      HeaderNames names,
      Admission admission,
      int routePriority,
      long callerDeadlineMs) {
    this.request = request;
    this.names = names;
    this.admission = admission;
    this.priority = admission.priorityOr(routePriority);
    this.callerDeadlineMs = callerDeadlineMs;
  }

  /** Returns the monotonic time until which a caller waits, as its request states it. */
  static long callerDeadlineMs(CallerRequest request, HeaderNames names, long defaultTimeoutMs) {
    String text = request.headers().get(names.deadlineMs());
    boolean isStated = text != null && text.matches("\\d{1,9}");
    return request.arrivedMs() + (isStated ? Long.parseLong(text) : defaultTimeoutMs);
  }

  /**
   * Returns the request for an attempt that is sent now.
   *
   * @param version the only version of the weights that the request may run on; 0 if any may be
   *     used
   * @param lastEventId id of the last event that the caller has; null for a new stream
   */
  TargetRequest create(TargetEntry target, long version, String lastEventId) {
    HttpHeaders headers = HopByHopHeaders.strip(request.headers(), names.reserved());
    setTenant(headers);
    headers.set(names.deadlineMs(), Math.max(1, callerDeadlineMs - ControlThread.nowMs()));
    headers.set(names.expectTarget(), target.id());
    headers.set(names.urgency(), urgency());
    if (version > 0) {
      headers.set(names.expectVersion(), version);
    }
    if (lastEventId != null) {
      headers.set(names.lastEventId(), lastEventId);
    }
    if (request.body().length > 0 || declaresBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    String id = request.headers().get(names.requestId());
    return new TargetRequest(id, request.method(), request.uri(), headers, request.body());
  }

  /** Replaces what the caller sent to identify itself by the name of its tenant. */
  private void setTenant(HttpHeaders headers) {
    if (admission.plan().hasTenants()) {
      headers.remove(HttpHeaderNames.AUTHORIZATION);
      headers.remove(names.tenant());
      admission.tenant().map(Tenant::name).ifPresent(name -> headers.set(names.tenant(), name));
    }
  }

  private int urgency() {
    return Math.min(MAX_URGENCY, 1 + URGENCY_STEP * Math.min(MAX_URGENCY, priority));
  }

  private boolean declaresBody() {
    return request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
