package org.apricotstand.cli;

/** A command of the command line. */
interface Command {

  /** Runs the command and returns its exit code, one of {@link ExitCodes}. */
  int run() throws Exception;
}
