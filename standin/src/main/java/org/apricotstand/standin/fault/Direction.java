package org.apricotstand.standin.fault;

/** Direction in which bytes pass through a {@link FaultProxy}. */
public enum Direction {
  /** From the client, which opened the connection, to the upstream address. */
  TO_UPSTREAM,
  /** From the upstream address to the client, which opened the connection. */
  TO_CLIENT
}
