package org.apricotstand.enginelease;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.StoreVersion;

/** Input of {@link EngineLeases}: an observation, or the result of a call. */
public sealed interface LeaseEvent {

  /**
   * The set of live engines changed.
   *
   * @param domains failure domain of each live engine
   */
  record EnginesChanged(Map<String, String> domains) implements LeaseEvent {}

  /**
   * A peer reported the leases that it holds.
   *
   * @param holder name of the peer
   * @param leases all leases of the peer, by engine
   */
  record LeasesReported(String holder, Map<String, LeaseStatus> leases) implements LeaseEvent {}

  /**
   * Instances were heard of, so that their last reports still hold.
   *
   * @param holders names of the instances
   */
  record HoldersHeard(Set<String> holders) implements LeaseEvent {}

  /**
   * An instance is not heard of any more. It may still command its engines until its leases expire.
   *
   * @param holder name of the instance
   */
  record HolderSilent(String holder) implements LeaseEvent {}

  /**
   * The set of live instances changed.
   *
   * @param domains failure domain of each live instance, including this one
   */
  record InstancesChanged(Map<String, String> domains) implements LeaseEvent {}

  /**
   * An answer of the table service showed a later era than all before. The era of the first answer
   * is reported too; the service may have been restored just before it.
   */
  record EraBegan(long era) implements LeaseEvent {}

  /**
   * All lease rows were read.
   *
   * @param requestedAtMs when the read was sent
   */
  record RowsRead(List<LeaseRecord> rows, long requestedAtMs) implements LeaseEvent {}

  /**
   * A write of lease rows was committed.
   *
   * @param rowVersion version that all written rows now have
   * @param sentAtMs when the write was sent
   */
  record WriteCommitted(List<LeaseRecord> rows, StoreVersion rowVersion, long sentAtMs)
      implements LeaseEvent {}

  /**
   * A write of lease rows was rejected because a row had another version.
   *
   * @param written rows of the rejected write
   * @param current rows as they are stored now
   */
  record WriteRejected(List<LeaseRecord> written, List<LeaseRecord> current)
      implements LeaseEvent {}

  /** A read or write of lease rows failed or got no answer. */
  record CallFailed() implements LeaseEvent {}

  /** The process may have been suspended. */
  record ProcessPaused() implements LeaseEvent {}

  /** All leases are to be released because the process is about to end. */
  record ReleaseRequested() implements LeaseEvent {}

  /** Periodic timer. */
  record Tick() implements LeaseEvent {}
}
