package org.apricotstand.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.apricotstand.front.ResponseFraming;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.upstream.TargetConnection;

/**
 * Status and headers of a target's answer, and what they say.
 *
 * @param response head as it was received
 * @param names names of the headers
 */
record AnswerHead(HttpResponse response, HeaderNames names) {

  private static final String EVENT_STREAM = "text/event-stream";

  int status() {
    return response.status().code();
  }

  /** Returns whether a success comes from elsewhere than a target. */
  boolean isUnsignedSuccess() {
    return isSuccess() && !isSigned();
  }

  boolean isSignedSuccess() {
    return isSuccess() && isSigned();
  }

  private boolean isSuccess() {
    return status() / 100 == 2;
  }

  private boolean isSigned() {
    return response.headers().contains(names.signature());
  }

  /** Returns whether the target has not run the request. */
  boolean isNotExecuted() {
    return status() == 421 || response.headers().contains(names.notExecuted());
  }

  boolean isFailure() {
    return status() >= 500;
  }

  /** Returns whether the answer has no body, whatever its headers say. */
  boolean isBodiless() {
    return ResponseFraming.isBodiless(response);
  }

  /** Returns whether only the end of the connection marks the end of the body. */
  boolean endsWithConnection() {
    return !TargetConnection.hasLength(response);
  }

  /** Returns whether the body consists of events, as far as the head tells. */
  boolean hasEvents() {
    return declaresEvents() || endsWithConnection();
  }

  /** Returns whether the head says that the body consists of events. */
  boolean declaresEvents() {
    return response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
  }

  /**
   * Returns whether the body is of the same kind as that of another answer, and may continue it.
   */
  boolean isOfSameKind(HttpResponse other) {
    return Objects.equals(HttpUtil.getMimeType(response), HttpUtil.getMimeType(other))
        && Objects.equals(encodingOf(response), encodingOf(other));
  }

  private static String encodingOf(HttpResponse answer) {
    return answer.headers().get(HttpHeaderNames.CONTENT_ENCODING);
  }

  /** Returns whether the target says that it leaves. */
  boolean isFromLeavingTarget() {
    return response.headers().containsValue(names.leaving(), "1", true);
  }

  /**
   * Returns for how many milliseconds a target that refuses wants no further request; empty if it
   * does not say.
   */
  OptionalLong pauseMs() {
    return status() == 503
        ? RetryAfterHeader.delayMs(response.headers().getAll(HttpHeaderNames.RETRY_AFTER))
        : OptionalLong.empty();
  }

  /** Returns the requests a second that the target takes; empty if it names no limit. */
  OptionalDouble limitPerSecond() {
    return RateLimitHeader.perSecond(response.headers().get(names.rateLimit()));
  }
}
