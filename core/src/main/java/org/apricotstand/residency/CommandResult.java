package org.apricotstand.residency;

/** How an engine answered a command. */
public enum CommandResult {
  /** The command is being carried out. */
  ACCEPTED,
  /** The command's effect holds. */
  HOLDS,
  /** Another command is in progress, or the sequence differs. */
  CONFLICT,
  /** The model or adapter does not exist. */
  UNKNOWN_NAME,
  /** Another target has the address, or a newer owner exists. */
  REFUSED,
  /** No answer; the command may be carried out later. */
  UNANSWERED
}
