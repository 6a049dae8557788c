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

  private ExitCodes() {}
}
