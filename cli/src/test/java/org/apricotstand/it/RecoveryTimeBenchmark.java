package org.apricotstand.it;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apricotstand.standin.process.Await;

/**
 * Measures the time from a failure to the next answer for an adapter on the engine, requested at an
 * instance that does not own the engine. Covers failures of the owner, the engine, and the links to
 * the platform and to peers. Not a test: run its main method.
 */
final class RecoveryTimeBenchmark {

  private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
  private static final String OWNER_ROW_PATH = "/tables/owners/rows/engine-1";

  private RecoveryTimeBenchmark() {}

  /** Injects each failure in a new cluster and prints the time to the next answer. */
  public static void main(String[] args) throws Exception {
    measure("owner killed", (cluster, owner) -> cluster.process(owner).kill());
    measure("owner paused", (cluster, owner) -> cluster.process(owner).pause());
    measure(
        "owner killed and restarted at once",
        (cluster, owner) -> {
          cluster.process(owner).kill();
          try {
            cluster.restart(owner);
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
    measure("owner drained", (cluster, owner) -> cluster.process(owner).terminate());
    measure(
        "engine restarted cold",
        (cluster, owner) ->
            cluster
                .caller()
                .post(cluster.directAddress("engine-1"), "/faults", "{\"crash\":true}", Map.of()));
    measure(
        "platform partitioned from all instances",
        (cluster, owner) ->
            ENTRIES.forEach(entry -> cluster.proxy(Link.toPlatform(entry)).partition()));
    measure(
        "owner cut off from all and from the platform",
        (cluster, owner) -> {
          cluster.proxy(Link.toPlatform(owner)).partition();
          for (String entry : ENTRIES) {
            if (!entry.equals(owner)) {
              cluster.proxy(Link.peer(owner, entry)).partition();
              cluster.proxy(Link.peer(entry, owner)).partition();
            }
          }
        });
  }

  /** Injects a failure, given the name of the instance that owns the engine. */
  private interface FaultInjection {
    void inject(ProcessCluster cluster, String owner);
  }

  private static void measure(String name, FaultInjection faultInjection) throws Exception {
    try (ProcessCluster cluster = new ProcessCluster()) {
      cluster.startPlatform("--load-ms", "50", "--loads-per-second", "20");
      cluster.startEngine("engine-1", "a", 2, 8, "--step-ms", "5");
      cluster.startEntries(Map.of("entry-1", "a", "entry-2", "a", "entry-3", "a"));
      cluster.apply(
          """
          models: [{name: base}]
          adapters: [{name: letters, model: base, versions: [v1]}]
          policy: {stallWeight: 1, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 10000}
          """);
      Await.until("an answer", () -> cluster.complete("entry-1", "letters", false).status() == 200);
      String row =
          cluster
              .caller()
              .get(cluster.directAddress(ProcessCluster.PLATFORM), OWNER_ROW_PATH)
              .body();
      String owner = row.replaceAll("(?s).*\"owner\":\"([^\"]*)\".*", "$1");
      String nonOwner = ENTRIES.stream().filter(e -> !e.equals(owner)).findFirst().orElseThrow();
      TimeUnit.SECONDS.sleep(5);
      long startNanos = System.nanoTime();
      faultInjection.inject(cluster, owner);
      Consumer<String> printElapsed =
          event ->
              System.out.printf(
                  "%s: %s after %d ms%n",
                  name, event, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
      printElapsed.accept("fault injected");
      Await.until(
          "an answer after the failure",
          () -> cluster.complete(nonOwner, "letters", false).status() == 200);
      printElapsed.accept("first answer at another instance");
    }
  }
}
