package org.apricotstand.lease;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** An event that the ownership machine handles. Times are monotonic milliseconds. */
public sealed interface OwnershipEvent {

  /** Time has passed; expected several times a second. */
  record Tick() implements OwnershipEvent {}

  /** The engines of the own domain, and the longest time that a request may take. */
  record TargetsDeclared(Set<TargetId> targets, long longestRequestMs) implements OwnershipEvent {}

  /**
   * The known instances of the own domain were updated.
   *
   * @param newestIncarnations greatest incarnation seen of each name, 0 when unknown; includes this
   *     instance
   * @param live those that are not known to be silent or leaving
   */
  record InstancesUpdated(Map<InstanceId, Long> newestIncarnations, Set<InstanceId> live)
      implements OwnershipEvent {}

  /**
   * The platform's whole instance list was read.
   *
   * @param names names on the list
   * @param requestedMs time at which the list was requested
   */
  record InstanceListRead(Set<InstanceId> names, long requestedMs) implements OwnershipEvent {}

  /** A write took effect. The versions are those of the written rows, in the same order. */
  record Committed(long callId, List<Long> versions) implements OwnershipEvent {}

  /** A write had no effect because a condition did not hold. */
  record Conflicted(long callId) implements OwnershipEvent {}

  /**
   * A call ended without an answer.
   *
   * @param maybeApplied whether a write may have taken effect or may still do so
   */
  record CallFailed(long callId, boolean maybeApplied) implements OwnershipEvent {}

  /** A lease row was read. */
  record LeaseRead(long callId, Versioned<LeaseRow> versionedRow) implements OwnershipEvent {}

  /** An owner row was read. */
  record OwnerRead(long callId, Versioned<OwnerRow> versionedRow) implements OwnershipEvent {}

  /** A peer that can't renew its lease asks this instance not to take over its targets. */
  record PromiseRequested(InstanceId from, long incarnation, long term, long round)
      implements OwnershipEvent {}

  /** A peer answered a request for a promise. */
  record PromiseAnswered(InstanceId from, long round, boolean granted) implements OwnershipEvent {}

  /** The owner of a target offers it to this instance. */
  record HandoverOffered(InstanceId from, TargetId target, long fencing)
      implements OwnershipEvent {}

  /** A peer that was offered a target of this instance owns it now. */
  record HandoverTaken(InstanceId from, TargetId target, long fencing) implements OwnershipEvent {}

  /** A former owner has no more requests on a target that this instance owns. */
  record HandoverDone(InstanceId from, TargetId target, long fencing) implements OwnershipEvent {}

  /** The engine reported how many requests it runs. */
  record EngineReported(TargetId target, int running) implements OwnershipEvent {}

  /** This instance has no more requests on a target that it lost. */
  record RequestsEnded(TargetId target) implements OwnershipEvent {}

  /** The process was paused. Nothing may be sent to engines before the lease is renewed. */
  record ProcessPaused(long gapMs) implements OwnershipEvent {}

  /** This instance is shutting down: it offers its targets to others and takes none. */
  record DrainStarted() implements OwnershipEvent {}

  /** All requests of this instance have ended: its lease can be released. */
  record DrainEnded() implements OwnershipEvent {}
}
