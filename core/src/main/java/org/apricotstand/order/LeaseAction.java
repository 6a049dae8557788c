package org.apricotstand.order;

import java.util.List;

/** Output of {@link OrderLeases}. */
public sealed interface LeaseAction {

  /** Read all lease rows. */
  record ReadRows() implements LeaseAction {}

  /** Write these rows in one transaction, each if its row has the given version. */
  record WriteRows(List<LeaseRecord> rows) implements LeaseAction {}

  /** This instance owns the engine from now on, with the given fencing number. */
  record Gained(String engine, long fencingNumber) implements LeaseAction {}

  /** This instance no longer owns the engine. */
  record Lost(String engine, String reason) implements LeaseAction {}
}
