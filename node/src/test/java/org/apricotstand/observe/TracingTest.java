package org.apricotstand.observe;

import static com.google.common.truth.Truth.assertThat;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;

class TracingTest {

  private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
  private static final String SAMPLED = "00-" + TRACE_ID + "-00f067aa0ba902b7-01";
  private static final String NOT_SAMPLED = "00-" + TRACE_ID + "-00f067aa0ba902b7-00";

  private final List<SpanData> exported = new ArrayList<>();
  private final Tracing tracing = new Tracing(0, new RecordingExporter());

  private final class RecordingExporter implements SpanExporter {
    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
      exported.addAll(spans);
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }
  }

  /** Guards against hops of one request that are recorded in different traces. */
  @Test
  void keepsTraceOverTwoHops() {
    Tracing.Hop entry = tracing.start("entry", SAMPLED);
    Tracing.Hop owner = tracing.start("owner", entry.traceparent());
    owner.end("answered");
    entry.end("answered");
    assertThat(exported.stream().map(SpanData::getTraceId).distinct()).containsExactly(TRACE_ID);
    assertThat(exported.get(0).getParentSpanId()).isEqualTo(exported.get(1).getSpanId());
  }

  /** Guards against recording a trace that the caller decided not to sample. */
  @Test
  void followsSamplingDecisionOfTheCaller() {
    tracing.start("entry", NOT_SAMPLED).end("answered");
    assertThat(exported).isEmpty();
  }

  /** Guards against a malformed trace header that makes the request fail. */
  @Test
  void startsNewTraceOnMalformedContext() {
    assertThat(tracing.start("entry", "garbage").traceId()).hasLength(TRACE_ID.length());
  }
}
