package org.apricotstand.lease;

import org.apricotstand.model.InstanceId;

/**
 * Row of table {@code leases}: one per instance name.
 *
 * @param holder name of the instance
 * @param incarnation number of the process that wrote it
 * @param term grows with every new lease of the name; a term that ended never becomes valid again
 * @param nonce identifies the write, so that its writer recognises it after a lost answer
 * @param state whether the term is valid
 */
public record LeaseRow(
    InstanceId holder, long incarnation, long term, long nonce, LeaseState state) {

  /** State of a term. */
  public enum LeaseState {
    /** The holder renews it. */
    HELD,
    /** A challenger ended it. */
    VOIDED,
    /** The holder ended it after its last request on every target had finished. */
    RELEASED
  }

  /** Returns whether the given term is valid in this row. */
  public boolean isHeld(long wantedTerm) {
    return state == LeaseState.HELD && term == wantedTerm;
  }

  /** Returns this row with its term ended by a challenger. */
  public LeaseRow voided(long byNonce) {
    return new LeaseRow(holder, incarnation, term, byNonce, LeaseState.VOIDED);
  }
}
