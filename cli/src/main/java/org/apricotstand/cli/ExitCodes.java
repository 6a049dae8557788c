package org.apricotstand.cli;

/** Exit codes of all commands. */
final class ExitCodes {

  /** The command succeeded. */
  static final int OK = 0;

  /** The command ran and failed. */
  static final int FAILED = 1;

  /** The command line is invalid. */
  static final int USAGE = 2;

  /** A settings or declaration file has errors. */
  static final int INVALID_FILE = 3;

  /** The change conflicts with another accepted change; nothing was changed. */
  static final int CONFLICT = 4;

  /** The change was sent but its answer was lost; it may have been accepted. */
  static final int OUTCOME_UNKNOWN = 5;

  /** The checked files have no errors but warnings. */
  static final int WARNINGS = 6;

  /** Explanation of the exit codes, printed with the help of each command. */
  static final String HELP =
      """
        Exit codes:
          0  done
          1  failed, such as an unreachable platform or instance; nothing was changed
          2  wrong command line
          3  a file has errors, listed as FILE:LINE: FIELD: EXPECTED; nothing was changed
          4  conflict with another accepted change; nothing was changed
          5  the answer to a change was lost; the change may have been accepted
          6  check found warnings and no errors
      """;

  private ExitCodes() {}
}
