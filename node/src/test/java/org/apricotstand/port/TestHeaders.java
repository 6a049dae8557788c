package org.apricotstand.port;

import java.util.Set;

/** Names of headers for tests. */
public final class TestHeaders {

  /** Names that differ from those of the users' platform, so that none is written in the code. */
  public static final HeaderNames NAMES =
      new HeaderNames(
          "x-id",
          "x-deadline",
          "x-model",
          "x-expect-target",
          "x-expect-version",
          "x-urgency",
          "x-not-executed",
          "x-seal",
          "x-prompt",
          "x-limit",
          "x-leaving",
          "last-event-id",
          "x-tenant",
          "x-token-count",
          Set.of("x-expect-target", "x-reserved"));

  private TestHeaders() {}
}
