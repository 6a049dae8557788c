package org.apricotstand.cli;

/** A command of the command line. */
interface Command {

  /** Runs the command and returns the exit code. */
  int run() throws Exception;
}
