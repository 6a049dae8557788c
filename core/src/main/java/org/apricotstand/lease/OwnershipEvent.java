package org.apricotstand.lease;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** Something that happened to the lease, to a target or to a peer. */
public sealed interface OwnershipEvent {

  /** Time passed; expected several times a second. */
  record Tick() implements OwnershipEvent {}

  /** The engines of the own domain, and the longest time that a request may take. */
  record TargetsDeclared(Set<TargetId> targets, long longestRequestMs) implements OwnershipEvent {}

  /**
   * The instances of the own domain, itself included.
   *
   * @param newestIncarnations greatest incarnation seen of each name, 0 when unknown
   * @param live those that are not known to be silent or leaving
   */
  record InstancesSeen(Map<InstanceId, Long> newestIncarnations, Set<InstanceId> live)
      implements OwnershipEvent {}

  /**
   * A whole instance list arrived.
   *
   * @param names names on the list
   * @param askedMs when it was asked for, monotonic
   */
  record ListRead(Set<InstanceId> names, long askedMs) implements OwnershipEvent {}

  /** A write took effect; the versions are those of the written rows in order. */
  record Committed(long call, List<Long> versions) implements OwnershipEvent {}

  /** A write had no effect because a condition did not hold. */
  record Conflicted(long call) implements OwnershipEvent {}

  /**
   * A call has no answer.
   *
   * @param sent whether a write may have taken effect or may still do so
   */
  record CallFailed(long call, boolean sent) implements OwnershipEvent {}

  /** Answer to a read of a lease row. */
  record LeaseRead(long call, Versioned<LeaseRow> found) implements OwnershipEvent {}

  /** Answer to a read of an owner row. */
  record OwnerRead(long call, Versioned<OwnerRow> found) implements OwnershipEvent {}

  /** A peer asks not to be challenged. */
  record PromiseAsked(InstanceId from, long incarnation, long term, long round)
      implements OwnershipEvent {}

  /** A peer answered the question for a promise. */
  record PromiseAnswered(InstanceId from, long round, boolean granted) implements OwnershipEvent {}

  /** The owner of a target offers it. */
  record HandoverOffered(InstanceId from, TargetId target, long fencing)
      implements OwnershipEvent {}

  /** The instance that was offered a target owns it now. */
  record HandoverTaken(InstanceId from, TargetId target, long fencing) implements OwnershipEvent {}

  /** A former owner runs no more requests on a target. */
  record HandoverDone(InstanceId from, TargetId target, long fencing) implements OwnershipEvent {}

  /** The engine reported how many requests it runs. */
  record EngineReported(TargetId target, int running) implements OwnershipEvent {}

  /** This instance has no more requests on a target that it lost. */
  record RequestsEnded(TargetId target) implements OwnershipEvent {}

  /** The process was paused; nothing may be sent before the lease is renewed. */
  record PauseDetected(long gapMs) implements OwnershipEvent {}

  /** This instance is leaving: its targets are offered to others, and it takes none. */
  record DrainStarted() implements OwnershipEvent {}

  /** All requests of this instance have ended: the lease may be released. */
  record DrainEnded() implements OwnershipEvent {}
}
