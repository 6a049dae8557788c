package org.apricotstand.request;

/** An answer that is kept in memory until it is complete. */
interface HeldAnswer {

  /** Closes the connection of the answer and drops what is kept; the request may have run. */
  void giveUp(String reason);
}
