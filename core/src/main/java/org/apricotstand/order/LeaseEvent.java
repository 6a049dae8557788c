package org.apricotstand.order;

import java.util.List;
import java.util.Set;

/** Input of {@link OrderLeases}. */
public sealed interface LeaseEvent {

  /** The live engines. */
  record EnginesChanged(Set<String> engines) implements LeaseEvent {}

  /** A peer said which engines it owns. */
  record OwnerHeard(String holder, Set<String> engines) implements LeaseEvent {}

  /** The live instances, this one included. */
  record InstancesChanged(Set<String> instances) implements LeaseEvent {}

  /** All lease rows, read by a call that began at the given time. */
  record RowsRead(List<LeaseRecord> rows, long askedMs) implements LeaseEvent {}

  /**
   * A write of leases succeeded.
   *
   * @param rowVersion version of all rows written
   * @param sentMs when the call was sent
   */
  record Written(List<LeaseRecord> rows, long rowVersion, long sentMs) implements LeaseEvent {}

  /** A write was rejected; these are the rows as they are now. */
  record Rejected(List<LeaseRecord> written, List<LeaseRecord> current) implements LeaseEvent {}

  /** A call got no answer or was refused. */
  record CallFailed() implements LeaseEvent {}

  /** The process may have stood still. */
  record Paused() implements LeaseEvent {}

  /** The instance shuts down. */
  record Leaving() implements LeaseEvent {}

  /** Time passed. */
  record Tick() implements LeaseEvent {}
}
