package org.apricotstand.cli;

/** Exit codes of all commands. */
final class ExitCodes {

  /** The command did what it was asked. */
  static final int OK = 0;

  /** The command ran and failed. */
  static final int FAILED = 1;

  /** The command line was wrong. */
  static final int USAGE = 2;

  /** A file was wrong. */
  static final int INVALID_FILE = 3;

  /** The change conflicts with another one; nothing was changed. */
  static final int CONFLICT = 4;

  /** The change was sent but its answer was lost; it may be accepted. */
  static final int OUTCOME_UNKNOWN = 5;

  /** Explanation for the help of each command. */
  static final String HELP =
      """
        Exit codes:
          0  done
          1  failed, such as an unreachable platform or instance; nothing was changed
          2  wrong command line
          3  a file has faults, listed as FILE:LINE: FIELD: EXPECTED; nothing was changed
          4  conflict with another accepted change; nothing was changed
          5  the answer to a change was lost and it may be accepted
      """;

  private ExitCodes() {}
}
