package org.apricotstand.bench;

import java.io.PrintStream;
import java.util.List;

/** Says which policy an experiment runs and how long the rest takes at least. */
public final class Progress {

  private static final long MS_PER_S = 1_000;

  private final PrintStream out;
  private final List<String> policies;
  private final long durationMs;

  /**
   * Creates the report of an experiment.
   *
   * @param out where the lines go
   * @param policies policies in the order in which they run
   * @param durationMs time in which the requests of one policy arrive
   */
  public Progress(PrintStream out, List<String> policies, long durationMs) {
    this.out = out;
    this.policies = List.copyOf(policies);
    this.durationMs = durationMs;
  }

  /** Notes the start of a policy. */
  void started(String policy) {
    int position = policies.indexOf(policy);
    long leftS = (policies.size() - position) * durationMs / MS_PER_S;
    out.printf(
        "policy %s (%d of %d), at least %d s to go%n",
        policy, position + 1, policies.size(), leftS);
  }
}
