package org.apricotstand.it;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apricotstand.standin.fault.Direction;
import org.apricotstand.standin.fault.ProxyConnection;

/**
 * Measures what idle entry instances spend on control: platform calls, processor time and bytes.
 * Not a test; run its main method with the number of instances and the seconds to measure.
 */
final class ControlOverhead {

  private static final long WARM_UP_S = 20;

  private ControlOverhead() {}

  /** Prints the figures. */
  public static void main(String[] args) throws Exception {
    int count = Integer.parseInt(args[0]);
    long seconds = Long.parseLong(args[1]);
    try (ProcessCluster cluster = new ProcessCluster()) {
      List<String> entries = start(cluster, count);
      TimeUnit.SECONDS.sleep(WARM_UP_S);
      String countersBefore = counters(cluster);
      Map<String, Duration> cpuBefore = cpu(cluster, entries);
      Map<ProxyConnection, Long> platformBefore = platformBytes(cluster, entries);
      Map<ProxyConnection, Long> peersBefore = peerBytes(cluster, entries);
      TimeUnit.SECONDS.sleep(seconds);
      System.out.println("instances=" + count + " seconds=" + seconds);
      System.out.println("counters before=" + countersBefore);
      System.out.println("counters after=" + counters(cluster));
      cpu(cluster, entries)
          .forEach(
              (entry, used) ->
                  System.out.printf(
                      "%s cpu_percent_of_a_core=%.2f%n",
                      entry, used.minus(cpuBefore.get(entry)).toMillis() / 10.0 / seconds));
      System.out.printf(
          "platform_bytes_per_s_per_instance=%.0f%n",
          grown(platformBefore, platformBytes(cluster, entries)) / (double) seconds / count);
      System.out.printf(
          "peer_bytes_per_s_per_instance=%.0f%n",
          grown(peersBefore, peerBytes(cluster, entries)) / (double) seconds / count);
    }
  }

  private static List<String> start(ProcessCluster cluster, int count) throws IOException {
    cluster.startPlatform();
    for (int i = 1; i <= count; i++) {
      cluster.startEngine("engine-" + i, "a", 2, 8);
    }
    Map<String, String> domains = new TreeMap<>();
    for (int i = 1; i <= count; i++) {
      domains.put("entry-" + i, "a");
    }
    cluster.startEntries(domains);
    cluster.apply("models: [{name: base}]\nadapters: [{name: a, model: base, versions: [v1]}]\n");
    return new ArrayList<>(domains.keySet());
  }

  private static String counters(ProcessCluster cluster) {
    return cluster.caller().get(cluster.directAddress(ProcessCluster.PLATFORM), "/counters").body();
  }

  private static Map<String, Duration> cpu(ProcessCluster cluster, List<String> entries) {
    Map<String, Duration> used = new TreeMap<>();
    for (String entry : entries) {
      long pid = cluster.process(entry).pid();
      used.put(
          entry, ProcessHandle.of(pid).flatMap(p -> p.info().totalCpuDuration()).orElseThrow());
    }
    return used;
  }

  private static Map<ProxyConnection, Long> platformBytes(
      ProcessCluster cluster, List<String> entries) {
    Map<ProxyConnection, Long> bytes = new HashMap<>();
    entries.forEach(entry -> add(bytes, cluster, Link.toPlatform(entry)));
    return bytes;
  }

  private static Map<ProxyConnection, Long> peerBytes(
      ProcessCluster cluster, List<String> entries) {
    Map<ProxyConnection, Long> bytes = new HashMap<>();
    for (String from : entries) {
      for (String to : entries) {
        if (!from.equals(to)) {
          add(bytes, cluster, Link.peer(from, to));
        }
      }
    }
    return bytes;
  }

  private static void add(Map<ProxyConnection, Long> bytes, ProcessCluster cluster, Link link) {
    cluster
        .proxy(link)
        .connections()
        .forEach(
            connection ->
                bytes.put(
                    connection,
                    connection.forwardedBytes(Direction.TO_UPSTREAM)
                        + connection.forwardedBytes(Direction.TO_CLIENT)));
  }

  /** Returns the growth; connections that closed in between are left out. */
  private static long grown(Map<ProxyConnection, Long> before, Map<ProxyConnection, Long> after) {
    return after.entrySet().stream()
        .mapToLong(entry -> entry.getValue() - before.getOrDefault(entry.getKey(), 0L))
        .sum();
  }
}
