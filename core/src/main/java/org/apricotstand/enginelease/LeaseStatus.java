package org.apricotstand.enginelease;

import org.apricotstand.model.StoreVersion;

/**
 * Status of a lease as its holder reports it to the other instances.
 *
 * @param rowVersion version of the lease's row after the last confirmed renewal
 * @param remainingMs time until the lease expires if it is not renewed; 0 when it has expired
 */
public record LeaseStatus(StoreVersion rowVersion, long remainingMs) {

  /** Returns whether the lease has expired. */
  public boolean hasExpired() {
    return remainingMs == 0;
  }
}
