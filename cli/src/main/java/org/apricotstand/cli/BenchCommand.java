package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import org.apricotstand.bench.Experiment;
import org.apricotstand.bench.ExperimentResults;
import org.apricotstand.bench.ProgressReporter;
import org.apricotstand.bench.Scenario;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.observe.LogFormat;

/** Runs a benchmark experiment and prints its results as a table. */
@Parameters(
    commandDescription = "runs a benchmark on instances and stand-ins and prints its results")
final class BenchCommand implements Command {

  private static final String ALL = "all";
  private static final long MS_PER_S = 1_000;

  @Parameter(description = "steppe-haze|lakeshore|FILE", required = true)
  private List<String> scenario;

  @Parameter(names = "--policy", description = "affinity|least-loaded-lru|random|all")
  private String policy = ALL;

  @Parameter(names = "--seed", description = "seed of the arrivals")
  private long seed = 1;

  @Parameter(names = "--duration-s", description = "time in which requests arrive")
  private long durationS = 60;

  @Parameter(names = "--json", description = "file for the results as JSON")
  private String jsonFile;

  @Override
  public int run() throws Exception {
    LogFormat.install(Level.SEVERE);
    if (!policy.equals(ALL) && !Experiment.POLICIES.contains(policy)) {
      System.err.println("error: unknown policy " + policy + ", known: " + Experiment.POLICIES);
      return ExitCodes.USAGE;
    }
    return switch (Scenario.read(scenario.getFirst())) {
      case Result.Ok<Scenario>(Scenario read) -> run(read);
      case Result.Failed<Scenario>(Failure failure) -> {
        System.err.println(failure);
        yield ExitCodes.INVALID_FILE;
      }
    };
  }

  private int run(Scenario read) throws Exception {
    List<String> policies = policy.equals(ALL) ? Experiment.POLICIES : List.of(policy);
    long durationMs = durationS * MS_PER_S;
    ProgressReporter progress = new ProgressReporter(System.err, policies, durationMs);
    ExperimentResults results =
        Experiment.run(read, policies, seed, durationMs, HttpResources::apply, progress);
    System.out.println(results.toTable());
    if (jsonFile != null) {
      Files.writeString(Path.of(jsonFile), results.toJson() + "\n");
    }
    return results.isSafe() ? ExitCodes.OK : ExitCodes.FAILED;
  }
}
