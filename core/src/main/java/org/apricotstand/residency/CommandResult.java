package org.apricotstand.residency;

/** Result of a command that was sent to an engine. */
public enum CommandResult {
  /** The engine is carrying the command out. */
  ACCEPTED,
  /** The engine is already in the state that the command asks for. */
  HOLDS,
  /** Another command is in progress, or the engine's sequence is not the expected one. */
  CONFLICT,
  /** The engine does not know the model or adapter. */
  UNKNOWN_NAME,
  /** Another target now has the address, or the engine has a newer owner. */
  REFUSED,
  /** No answer arrived; the command may have been carried out, or may still be. */
  UNANSWERED
}
