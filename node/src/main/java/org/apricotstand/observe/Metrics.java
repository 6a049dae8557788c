package org.apricotstand.observe;

import static com.google.common.base.Preconditions.checkArgument;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.apricotstand.kernel.Service;

/**
 * Holds the counters, timers and gauges of one instance under dotted names.
 *
 * <pre>{@code
 * metrics.count("entry.answered");
 * metrics.time("owner.dispatch", elapsedNanos);
 * metrics.gauge("peer.links", links::size);
 * }</pre>
 */
public final class Metrics implements Service {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_]*(\\.[a-z0-9_]+)*");
  private static final double NANOS_PER_MS = 1_000_000.0;

  private final MetricRegistry registry = new MetricRegistry();

  /** Adds one to a counter. */
  public void count(String name) {
    counter(name).inc();
  }

  /** Returns a counter, for code that counts often and keeps the reference. */
  public Counter counter(String name) {
    return registry.counter(requireValidName(name));
  }

  /** Returns a timer, for code that measures often and keeps the reference. */
  public Timer timer(String name) {
    return registry.timer(requireValidName(name));
  }

  /** Records a duration in nanoseconds. */
  public void time(String name, long nanos) {
    timer(name).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Registers a gauge that reads the given value; replaces a gauge of the same name. */
  public void gauge(String name, Supplier<? extends Number> value) {
    registry.remove(requireValidName(name));
    registry.register(name, (Gauge<Number>) value::get);
  }

  /** Returns all metrics as one JSON object; durations are in milliseconds. */
  public String json() {
    ObjectNode all = JSON.createObjectNode();
    registry
        .getGauges()
        .forEach((name, gauge) -> all.put(name, ((Number) gauge.getValue()).doubleValue()));
    registry.getCounters().forEach((name, counter) -> all.put(name, counter.getCount()));
    registry.getTimers().forEach((name, timer) -> all.set(name, describe(timer)));
    return all.toString();
  }

  private static ObjectNode describe(Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    ObjectNode described = JSON.createObjectNode();
    described.put("count", timer.getCount());
    described.put("mean_ms", snapshot.getMean() / NANOS_PER_MS);
    described.put("p50_ms", snapshot.getMedian() / NANOS_PER_MS);
    described.put("p95_ms", snapshot.get95thPercentile() / NANOS_PER_MS);
    described.put("p99_ms", snapshot.get99thPercentile() / NANOS_PER_MS);
    described.put("max_ms", snapshot.getMax() / NANOS_PER_MS);
    return described;
  }

  /** Returns all metrics in the Prometheus text format; dots become underscores. */
  public String prometheus() {
    CollectorRegistry collectors = new CollectorRegistry();
    new DropwizardExports(registry).register(collectors);
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, collectors.metricFamilySamples());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static String requireValidName(String name) {
    checkArgument(NAME.matcher(name).matches(), "invalid metric name: %s", name);
    return name;
  }
}
