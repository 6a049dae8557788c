package org.apricotstand.bench;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apricotstand.http.HttpClient;
import org.apricotstand.standin.engine.StandInEngine;

/**
 * Runs policies one after the other with the same arrivals.
 *
 * <pre>{@code
 * ExperimentResults results = Experiment.run(scenario, List.of("affinity", "random"), 1, 60_000, writer, progress);
 * }</pre>
 */
public final class Experiment {

  /** Policies that {@code all} stands for; the default policy comes first. */
  public static final List<String> POLICIES = List.of("affinity", "least-loaded-lru", "random");

  private static final int EVENT_LOOP_THREADS = 4;

  private Experiment() {}

  /** Measures the hop to another instance, then runs the policies in the given order. */
  public static ExperimentResults run(
      Scenario scenario,
      List<String> policies,
      long seed,
      long durationMs,
      DeclarationWriter writer,
      ProgressReporter progress)
      throws IOException, InterruptedException {
    Workload workload = Workload.generate(scenario, seed, durationMs);
    long leastLoads =
        ClairvoyantCache.leastLoads(
            workload.requests().stream().map(Workload.ModelRequest::adapter).toList(),
            scenario.engines() * scenario.slots());
    Map<String, PolicyMetrics> metricsByPolicy = new LinkedHashMap<>();
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    try (HttpClient http = new HttpClient(group)) {
      HopMeasurement.Hop hop = HopMeasurement.measure(scenario, group, http, writer);
      for (String policy : policies) {
        progress.reportPolicyStart(policy);
        metricsByPolicy.put(policy, runPolicy(scenario, policy, workload, group, http, writer));
      }
      return new ExperimentResults(
          scenario.name(),
          seed,
          durationMs,
          workload.requests().size(),
          workload.orders().size(),
          leastLoads,
          hop,
          metricsByPolicy);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static PolicyMetrics runPolicy(
      Scenario scenario,
      String policy,
      Workload workload,
      EventLoopGroup group,
      HttpClient http,
      DeclarationWriter writer)
      throws IOException, InterruptedException {
    try (Fleet fleet = new Fleet(scenario, policy, group, http, writer)) {
      LoadGenerator.SentWorkload sentWorkload =
          new LoadGenerator(scenario, http, fleet.callerAddresses()).send(workload);
      RunObservations observations =
          new RunObservations(
              sentWorkload,
              fleet.engines().stream().flatMap(engine -> engine.events().stream()).toList(),
              fleet.engines().stream().map(StandInEngine::statistics).toList(),
              fleet.orders().events());
      return RunEvaluator.evaluate(scenario, observations);
    }
  }
}
