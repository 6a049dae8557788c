package org.apricotstand.lease;

import org.apricotstand.model.InstanceId;

/**
 * Derives the rights on an owned target from the own lease and the received promises.
 *
 * <p>While renewals fail, promises of all other candidates extend the right to send load and unload
 * commands. Without them the owner still sends requests for resident adapters, for a limited time.
 */
final class RightsCalculator {

  private final InstanceId self;
  private final OwnLease lease;
  private final TakeoverPromises promises;

  RightsCalculator(InstanceId self, OwnLease lease, TakeoverPromises promises) {
    this.self = self;
    this.lease = lease;
    this.promises = promises;
  }

  Rights rightsOn(TargetState state) {
    long none = LeaseTimes.NEVER;
    long fencing = state.lastOwnedFencing;
    if (!lease.isTermConfirmed() || lease.isReleased()) {
      return new Rights(fencing, none, none);
    }
    long leaseUntilMs = lease.isSuspended() ? none : lease.deadlineMs();
    long disconnectedUntilMs = lease.deadlineMs() + LeaseTimes.MAX_DISCONNECTED_MS;
    long promisedUntilMs =
        lease.isRenewalFailing()
            ? Math.min(
                promises.allPromisedUntilMs(state.otherCandidates(self)), disconnectedUntilMs)
            : none;
    long commandUntilMs = Math.max(leaseUntilMs, promisedUntilMs);
    boolean disconnected = lease.isRenewalFailing() && !lease.isSuspended();
    long dispatchUntilMs = disconnected ? disconnectedUntilMs : commandUntilMs;
    return new Rights(fencing, dispatchUntilMs, state.offeredTo == null ? commandUntilMs : none);
  }
}
