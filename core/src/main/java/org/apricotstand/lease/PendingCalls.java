package org.apricotstand.lease;

import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** Tracks the store calls that have no answer yet, by call identifier. */
final class PendingCalls {

  private final Map<Long, StoreCall> callsById = new HashMap<>();
  private long lastCallId;

  /** Purpose of a store call. */
  sealed interface StoreCall {
    /** Write of the own lease row. */
    record LeaseWrite() implements StoreCall {}

    /** Write of an owner row. */
    record OwnerWrite(TargetId target) implements StoreCall {}

    /** Read of the own lease row or that of another instance. */
    record LeaseLookup(InstanceId holder) implements StoreCall {}

    /** Read of an owner row. */
    record OwnerLookup(TargetId target) implements StoreCall {}
  }

  /** Registers a call and returns its identifier. */
  long register(StoreCall call) {
    callsById.put(++lastCallId, call);
    return lastCallId;
  }

  /**
   * Removes a call and returns its purpose, or null when it was completed before, as for a
   * duplicate answer.
   */
  StoreCall complete(long id) {
    return callsById.remove(id);
  }

  boolean isPending(StoreCall call) {
    return callsById.containsValue(call);
  }
}
