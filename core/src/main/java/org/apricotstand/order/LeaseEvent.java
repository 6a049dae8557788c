package org.apricotstand.order;

import java.util.List;
import java.util.Map;

/** Input of {@link OrderLeases}. */
public sealed interface LeaseEvent {

  /**
   * The live engines.
   *
   * @param domains failure domain of each engine
   */
  record EnginesChanged(Map<String, String> domains) implements LeaseEvent {}

  /**
   * A peer said which leases it holds.
   *
   * @param held all its leases, by engine
   */
  record OwnerHeard(String holder, Map<String, LeaseStanding> held) implements LeaseEvent {}

  /**
   * The live instances, this one included.
   *
   * @param domains failure domain of each instance
   */
  record InstancesChanged(Map<String, String> domains) implements LeaseEvent {}

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
