package org.apricotstand.standin.fault;

/** Direction of bytes through a {@link FaultProxy}. */
public enum Direction {
  /** From the side that opened the connection to the upstream address. */
  TO_UPSTREAM,
  /** From the upstream address to the side that opened the connection. */
  TO_CALLER
}
