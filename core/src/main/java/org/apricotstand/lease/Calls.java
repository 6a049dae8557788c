package org.apricotstand.lease;

import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** Store calls without an answer. */
final class Calls {

  private final Map<Long, Call> open = new HashMap<>();
  private long last;

  /** What a call is for. */
  sealed interface Call {
    /** Write of the own lease row. */
    record LeaseWrite() implements Call {}

    /** Write of an owner row. */
    record OwnerWrite(TargetId target) implements Call {}

    /** Read of the own lease row or that of another instance. */
    record LeaseLookup(InstanceId holder) implements Call {}

    /** Read of an owner row. */
    record OwnerLookup(TargetId target) implements Call {}
  }

  long open(Call call) {
    open.put(++last, call);
    return last;
  }

  /** Returns what the call was for and closes it; null when it is closed, as for a duplicate. */
  Call close(long id) {
    return open.remove(id);
  }

  boolean isOpen(Call call) {
    return open.containsValue(call);
  }
}
