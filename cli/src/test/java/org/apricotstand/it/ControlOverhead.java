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
 * Measures the control overhead of idle entry instances: calls to the platform, CPU time, and bytes
 * sent and received on links to the platform and to peers. Not a test: run its main method.
 */
final class ControlOverhead {

  private static final long WARM_UP_S = 20;

  private ControlOverhead() {}

  /**
   * Runs the measurement and prints the results.
   *
   * @param args number of instances and engines, and duration of the measurement in seconds
   */
  public static void main(String[] args) throws Exception {
    int count = Integer.parseInt(args[0]);
    long seconds = Long.parseLong(args[1]);
    try (ProcessCluster cluster = new ProcessCluster()) {
      List<String> entries = startCluster(cluster, count);
      TimeUnit.SECONDS.sleep(WARM_UP_S);
      String countersBefore = readCounters(cluster);
      Map<String, Duration> cpuBefore = cpuTimes(cluster, entries);
      Map<ProxyConnection, Long> platformBefore = platformBytes(cluster, entries);
      Map<ProxyConnection, Long> peersBefore = peerBytes(cluster, entries);
      TimeUnit.SECONDS.sleep(seconds);
      System.out.println("instances=" + count + " seconds=" + seconds);
      System.out.println("counters before=" + countersBefore);
      System.out.println("counters after=" + readCounters(cluster));
      cpuTimes(cluster, entries)
          .forEach(
              (entry, cpuTime) ->
                  System.out.printf(
                      "%s cpu_percent_of_a_core=%.2f%n",
                      entry, cpuTime.minus(cpuBefore.get(entry)).toMillis() / 10.0 / seconds));
      System.out.printf(
          "platform_bytes_per_s_per_instance=%.0f%n",
          totalGrowth(platformBefore, platformBytes(cluster, entries)) / (double) seconds / count);
      System.out.printf(
          "peer_bytes_per_s_per_instance=%.0f%n",
          totalGrowth(peersBefore, peerBytes(cluster, entries)) / (double) seconds / count);
    }
  }

  private static List<String> startCluster(ProcessCluster cluster, int count) throws IOException {
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

  private static String readCounters(ProcessCluster cluster) {
    return cluster.caller().get(cluster.directAddress(ProcessCluster.PLATFORM), "/counters").body();
  }

  private static Map<String, Duration> cpuTimes(ProcessCluster cluster, List<String> entries) {
    Map<String, Duration> cpuTimeByEntry = new TreeMap<>();
    for (String entry : entries) {
      long pid = cluster.process(entry).pid();
      cpuTimeByEntry.put(
          entry, ProcessHandle.of(pid).flatMap(p -> p.info().totalCpuDuration()).orElseThrow());
    }
    return cpuTimeByEntry;
  }

  private static Map<ProxyConnection, Long> platformBytes(
      ProcessCluster cluster, List<String> entries) {
    Map<ProxyConnection, Long> bytes = new HashMap<>();
    entries.forEach(entry -> addConnectionBytes(bytes, cluster, Link.toPlatform(entry)));
    return bytes;
  }

  private static Map<ProxyConnection, Long> peerBytes(
      ProcessCluster cluster, List<String> entries) {
    Map<ProxyConnection, Long> bytes = new HashMap<>();
    for (String from : entries) {
      for (String to : entries) {
        if (!from.equals(to)) {
          addConnectionBytes(bytes, cluster, Link.peer(from, to));
        }
      }
    }
    return bytes;
  }

  private static void addConnectionBytes(
      Map<ProxyConnection, Long> bytes, ProcessCluster cluster, Link link) {
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

  /** Returns the total increase over all connections that are still open in {@code after}. */
  private static long totalGrowth(
      Map<ProxyConnection, Long> before, Map<ProxyConnection, Long> after) {
    return after.entrySet().stream()
        .mapToLong(entry -> entry.getValue() - before.getOrDefault(entry.getKey(), 0L))
        .sum();
  }
}
