package org.apricotstand.enginelease;

import java.util.List;

/** Call or notification that {@link EngineLeases} asks its caller to carry out. */
public sealed interface LeaseAction {

  /** Reads all lease rows. */
  record ReadRows() implements LeaseAction {}

  /**
   * Writes the rows in one transaction that commits only if each stored row still has the version
   * given in {@link LeaseRecord#rowVersion()}.
   */
  record WriteRows(List<LeaseRecord> rows) implements LeaseAction {}

  /** This instance owns the engine from now on and sends the fencing token with its commands. */
  record OwnershipGained(String engine, long fencingNumber) implements LeaseAction {}

  /** This instance no longer owns the engine. */
  record OwnershipLost(String engine, String reason) implements LeaseAction {}
}
