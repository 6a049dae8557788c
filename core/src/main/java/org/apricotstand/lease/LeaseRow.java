package org.apricotstand.lease;

import org.apricotstand.model.InstanceId;

/**
 * Row of table {@code leases}, one per instance name. Names the process that holds the lease and
 * the state of its term.
 *
 * @param holder name of the instance
 * @param incarnation incarnation of the process that wrote the row
 * @param term number of the lease, increased with every new lease of the name; a term that ended
 *     never becomes valid again
 * @param nonce identifies the write, so that its writer recognizes it after a lost answer
 * @param state whether the term is valid
 */
public record LeaseRow(
    InstanceId holder, long incarnation, long term, long nonce, LeaseState state) {

  /** State of a term. */
  public enum LeaseState {
    /** The term is valid and the holder renews it. */
    HELD,
    /** Another instance ended the term in order to take over targets. */
    VOIDED,
    /** The holder ended the term after its last request on every target had finished. */
    RELEASED
  }

  /** Returns whether the given term is valid in this row. */
  public boolean isHeld(long expectedTerm) {
    return state == LeaseState.HELD && term == expectedTerm;
  }

  /** Returns a copy of this row with its term voided by another instance. */
  public LeaseRow asVoided(long writeNonce) {
    return new LeaseRow(holder, incarnation, term, writeNonce, LeaseState.VOIDED);
  }
}
