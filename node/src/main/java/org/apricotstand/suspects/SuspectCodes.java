package org.apricotstand.suspects;

import java.util.Set;
import org.apricotstand.suspect.SuspectRegistry;

/** Failure codes of requests that crash engines. */
public final class SuspectCodes {

  /** The engine crashed while it ran the request. */
  public static final String ENGINE_CRASHED = "engine_crashed";

  /**
   * The owner treats the request as a suspect, but the entry instance did not send it to run alone.
   */
  public static final String NOT_ALONE = "suspect_not_alone";

  private static final Set<String> ALL =
      Set.of(
          ENGINE_CRASHED,
          NOT_ALONE,
          SuspectRegistry.REFUSED,
          SuspectRegistry.UNSETTLED,
          SuspectRegistry.ON_TRIAL);

  private SuspectCodes() {}

  /** Returns whether a request that failed with this code must not be retried. */
  public static boolean forbidsRetry(String code) {
    return ALL.contains(code);
  }
}
