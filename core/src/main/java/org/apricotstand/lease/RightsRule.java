package org.apricotstand.lease;

import org.apricotstand.model.InstanceId;

/** Derives what may be done with an owned target from the lease and the promises. */
final class RightsRule {

  private final InstanceId self;
  private final OwnLease lease;
  private final Promises promises;

  RightsRule(InstanceId self, OwnLease lease, Promises promises) {
    this.self = self;
    this.lease = lease;
    this.promises = promises;
  }

  Rights of(TargetState state) {
    long none = LeaseTimes.NEVER;
    long fencing = state.lastOwnedFencing;
    if (!lease.isEstablished() || lease.isReleased()) {
      return new Rights(fencing, none, none);
    }
    long leaseUntilMs = lease.isSuspended() ? none : lease.deadlineMs();
    long frozenUntilMs = lease.deadlineMs() + LeaseTimes.FROZEN_MS;
    long promisedUntilMs =
        lease.isFailing()
            ? Math.min(promises.unanimousUntilMs(state.otherTakers(self)), frozenUntilMs)
            : none;
    long commandUntilMs = Math.max(leaseUntilMs, promisedUntilMs);
    boolean frozen = lease.isFailing() && !lease.isSuspended();
    long dispatchUntilMs = frozen ? frozenUntilMs : commandUntilMs;
    return new Rights(fencing, dispatchUntilMs, state.offeredTo == null ? commandUntilMs : none);
  }
}
