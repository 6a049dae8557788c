package org.apricotstand.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.settings.YamlFiles;

/**
 * Describes an experiment: the fleet, the weight store and the arrivals.
 *
 * @param name name of the scenario in results
 * @param domains failure domains; entry instances and engines are assigned to them in turn
 * @param entries number of entry instances
 * @param engines number of engines
 * @param slots adapter slots of each engine
 * @param maxBatch maximum number of sequences in the batch of an engine
 * @param stepMs duration of one decoding step in milliseconds
 * @param reportLagMs age of the engines' state reports in milliseconds
 * @param adapters number of adapters
 * @param store limits of the weight store
 * @param stallWeight declared weight of load stalls against batch efficiency: 1 avoids load stalls,
 *     0 fills batches
 * @param requestTimeoutMs timeout of a request in milliseconds
 * @param arrivals arrivals of model requests
 * @param classes request classes of the adapters
 * @param orders arrivals of orders at the plain service
 */
public record Scenario(
    String name,
    List<String> domains,
    int entries,
    int engines,
    int slots,
    int maxBatch,
    long stepMs,
    long reportLagMs,
    int adapters,
    Store store,
    double stallWeight,
    long requestTimeoutMs,
    Arrivals arrivals,
    List<ClassShare> classes,
    Orders orders) {

  private static final List<String> BUILT_IN = List.of("steppe-haze", "lakeshore");

  /**
   * Limits of the weight store.
   *
   * @param loadsPerSecond rate limit of loads
   * @param loadBurst loads that may start at once
   * @param loadsInFlight loads in flight that the store serves at full speed
   * @param loadMs duration of one load at full speed in milliseconds
   */
  public record Store(double loadsPerSecond, int loadBurst, int loadsInFlight, long loadMs) {}

  /**
   * Poisson arrivals of model requests with Zipf popularity.
   *
   * @param requestsPerSecond mean rate
   * @param zipfExponent exponent of the Zipf distribution of adapters by rank
   * @param shiftAt fraction of the duration after which popularity shifts
   * @param shiftShare fraction of the ranks whose adapters are exchanged at random by the shift
   */
  public record Arrivals(
      double requestsPerSecond, double zipfExponent, double shiftAt, double shiftShare) {}

  /**
   * Share of the adapters that belong to one request class, and the size of their requests.
   *
   * @param name request class: interactive, standard or background
   * @param share fraction of the adapters
   * @param tokens number of tokens of an answer
   * @param promptCharacters length of a prompt, in characters
   */
  public record ClassShare(String name, double share, int tokens, int promptCharacters) {}

  /**
   * Poisson arrivals of orders at the plain service.
   *
   * @param ordersPerSecond mean rate of new orders
   * @param repeatShare fraction of orders that are sent a second time, as a duplicate
   * @param repeatAfterMs time from an order to its duplicate in milliseconds
   * @param runMs time in milliseconds of one run of an order; exceeds {@code repeatAfterMs}, so
   *     that the duplicate can arrive during the run
   */
  public record Orders(
      double ordersPerSecond, double repeatShare, long repeatAfterMs, long runMs) {}

  /** Reads a built-in scenario by its name, or a scenario from a YAML file. */
  public static Result<Scenario> read(String nameOrFile) throws IOException {
    if (!BUILT_IN.contains(nameOrFile)) {
      return YamlFiles.read(Path.of(nameOrFile), Scenario.class);
    }
    Path scenarioFile = Files.createTempFile(nameOrFile, ".yaml");
    try (InputStream resource = Scenario.class.getResourceAsStream(nameOrFile + ".yaml")) {
      Files.write(scenarioFile, resource.readAllBytes());
      return YamlFiles.read(scenarioFile, Scenario.class);
    } finally {
      Files.delete(scenarioFile);
    }
  }

  /**
   * Returns a built-in scenario.
   *
   * @throws IllegalArgumentException if the scenario is invalid
   */
  public static Scenario builtIn(String name) {
    try {
      return switch (read(name)) {
        case Result.Ok<Scenario>(Scenario scenario) -> scenario;
        case Result.Failed<Scenario>(Failure failure) ->
            throw new IllegalArgumentException(failure.toString());
      };
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the request class of an adapter. It follows from the adapter's number modulo 100, not
   * from a random number, so that the shares are exact.
   */
  ClassShare classOf(int adapter) {
    double position = (adapter % 100) / 100.0;
    double end = 0;
    for (ClassShare share : classes) {
      end += share.share();
      if (position < end) {
        return share;
      }
    }
    return classes.getLast();
  }

  /** Returns the name of an adapter. */
  static String adapterName(int adapter) {
    return "adapter-" + adapter;
  }

  /** Returns the only version of an adapter. */
  static String adapterVersion(int adapter) {
    return adapterName(adapter) + "@v1";
  }

  /** Returns the failure domain of an entry instance or engine by its number, counted from 0. */
  String domainOf(int number) {
    return domains.get(number % domains.size());
  }
}
