package org.apricotstand.request;

import org.apricotstand.observe.EventLog;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.suspect.Trait;
import org.apricotstand.upstream.SendFailure;

/** Writes the log lines that explain how requests ended. */
final class RequestLog {

  private static final EventLog LOG = EventLog.of(RequestFlow.class);

  private RequestLog() {}

  /**
   * End of a request.
   *
   * @param tenant tenant whose key the request bore; null without one
   * @param target id of the target that it was sent to last; null if it was not sent
   * @param adapter adapter that it named; null for a plain service
   * @param wantedFrom engine that was asked to load the adapter; null if none was
   * @param runs attempts that may have run
   * @param rejections attempts that targets rejected
   */
  record End(
      String request,
      String route,
      String tenant,
      String code,
      int status,
      String target,
      AdapterKey adapter,
      String wantedFrom,
      int runs,
      int rejections,
      long sentAfterMs,
      long firstByteAfterMs,
      long ageMs) {}

  static void attemptLost(
      String request,
      Attempt attempt,
      SendFailure failure,
      boolean isAnswering,
      RequestTraits traits) {
    LOG.info(
        "attempt_lost",
        "request",
        request,
        "target",
        attempt.target().id(),
        "failure",
        failure.getClass().getSimpleName(),
        "detail",
        failure.detail(),
        "answering",
        isAnswering,
        "begun",
        attempt.hasFirstByte(),
        "traits",
        traits.all().map(Trait::encode).toList());
  }

  static void requestEnded(End end) {
    LOG.info(
        "request_ended",
        "request",
        end.request,
        "route",
        end.route,
        "tenant",
        end.tenant,
        "code",
        end.code,
        "status",
        end.status,
        "target",
        end.target,
        "adapter",
        end.adapter,
        "wanted_from",
        end.wantedFrom,
        "runs",
        end.runs,
        "rejections",
        end.rejections,
        "sent_after_ms",
        end.sentAfterMs,
        "first_byte_after_ms",
        end.firstByteAfterMs,
        "age_ms",
        end.ageMs);
  }
}
