package org.apricotstand.bench;

import java.io.PrintStream;
import java.util.List;

/** Prints which policy an experiment runs and how long the rest takes at least. */
public final class ProgressReporter {

  private static final long MS_PER_S = 1_000;

  private final PrintStream out;
  private final List<String> policies;
  private final long durationMs;

  /**
   * Creates a reporter for one experiment.
   *
   * @param out stream to which the lines are printed
   * @param policies policies in the order in which they run
   * @param durationMs time in which the requests of one policy arrive
   */
  public ProgressReporter(PrintStream out, List<String> policies, long durationMs) {
    this.out = out;
    this.policies = List.copyOf(policies);
    this.durationMs = durationMs;
  }

  /** Prints the policy that starts and the minimum time until the end of the experiment. */
  void reportPolicyStart(String policy) {
    int position = policies.indexOf(policy);
    long remainingS = (policies.size() - position) * durationMs / MS_PER_S;
    out.printf(
        "policy %s (%d of %d), at least %d s to go%n",
        policy, position + 1, policies.size(), remainingS);
  }
}
