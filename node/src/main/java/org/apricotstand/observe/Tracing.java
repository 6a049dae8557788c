package org.apricotstand.observe;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apricotstand.kernel.Service;

/**
 * Records a span for each hop of a request. The trace context is received and passed on as a W3C
 * {@code traceparent} header; ended spans are written to the log, one line each.
 *
 * <pre>{@code
 * Tracing.Hop hop = tracing.start("entry", traceparent, "adapter_version", adapterVersion);
 * forward(request, hop.traceparent());
 * hop.end("answered");
 * }</pre>
 */
public final class Tracing implements Service {

  private static final EventLog LOG = EventLog.of(Tracing.class);
  private static final String TRACEPARENT = "traceparent";
  private static final TextMapGetter<Map<String, String>> GETTER = new CarrierGetter();

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  /**
   * Creates a tracer that writes to the log.
   *
   * @param sampledFraction fraction of the traces started here that are recorded, 0 to 1; traces
   *     started elsewhere follow the sampling decision in their context
   */
  public Tracing(double sampledFraction) {
    this(sampledFraction, new LogExporter());
  }

  Tracing(double sampledFraction, SpanExporter exporter) {
    provider =
        SdkTracerProvider.builder()
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampledFraction)))
            .addSpanProcessor(SimpleSpanProcessor.create(exporter))
            .build();
    tracer = provider.get("org.apricotstand");
  }

  /**
   * Starts the span of a hop.
   *
   * @param name name of the hop
   * @param traceparent context of the previous hop; empty or null to start a new trace
   * @param attributes alternating names and values
   */
  public Hop start(String name, String traceparent, Object... attributes) {
    Map<String, String> carrier = traceparent == null ? Map.of() : Map.of(TRACEPARENT, traceparent);
    Context parent =
        W3CTraceContextPropagator.getInstance().extract(Context.root(), carrier, GETTER);
    Span span = tracer.spanBuilder(name).setParent(parent).startSpan();
    for (int i = 0; i + 1 < attributes.length; i += 2) {
      span.setAttribute(String.valueOf(attributes[i]), String.valueOf(attributes[i + 1]));
    }
    return new Hop(span);
  }

  @Override
  public void stop() {
    provider.close();
  }

  /** The span of one hop of a request. */
  public static final class Hop {
    private final Span span;

    private Hop(Span span) {
      this.span = span;
    }

    /** Returns the trace context to send to the next hop. */
    public String traceparent() {
      Map<String, String> carrier = new HashMap<>();
      Context context = Context.root().with(span);
      W3CTraceContextPropagator.getInstance().inject(context, carrier, Map::put);
      return carrier.getOrDefault(TRACEPARENT, "");
    }

    /** Returns the id of the trace, which all hops of the request share. */
    public String traceId() {
      return span.getSpanContext().getTraceId();
    }

    /** Ends the hop; an outcome other than "answered" marks it as failed. */
    public void end(String outcome) {
      span.setAttribute("outcome", outcome);
      span.setStatus(outcome.equals("answered") ? StatusCode.OK : StatusCode.ERROR);
      span.end();
    }
  }

  private static final class CarrierGetter implements TextMapGetter<Map<String, String>> {
    // The interface still declares this method, deprecated and without a default.
    @Deprecated
    @Override
    public Iterable<String> keys(Map<String, String> carrier) {
      return carrier.keySet();
    }

    @Override
    public String get(Map<String, String> carrier, String key) {
      return carrier == null ? null : carrier.get(key);
    }
  }

  private static final class LogExporter implements SpanExporter {
    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
      spans.forEach(LogExporter::log);
      return CompletableResultCode.ofSuccess();
    }

    private static void log(SpanData span) {
      SpanContext context = span.getSpanContext();
      LOG.info(
          "span",
          "name",
          span.getName(),
          "trace",
          context.getTraceId(),
          "span",
          context.getSpanId(),
          "parent",
          span.getParentSpanId(),
          "took_us",
          TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos()),
          "attributes",
          textOf(span.getAttributes()));
    }

    private static String textOf(Attributes attributes) {
      List<String> pairs =
          attributes.asMap().entrySet().stream().map(LogExporter::pair).sorted().toList();
      return String.join(",", pairs);
    }

    private static String pair(Map.Entry<AttributeKey<?>, Object> entry) {
      return entry.getKey().getKey() + ":" + entry.getValue();
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
}
