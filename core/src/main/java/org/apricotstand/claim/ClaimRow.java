package org.apricotstand.claim;

/**
 * Content of a claim row.
 *
 * @param state how far the request is
 * @param holder instance that made the claim
 * @param holderIncarnation incarnation of that instance
 * @param nonce unique text of the attempt that made the claim
 * @param fingerprint hash of method, path and body
 * @param claimedAtEpochMs wall-clock time of the claim, for the removal of old rows only
 * @param answer stored answer, or null unless the state is {@link State#ANSWERED}
 */
public record ClaimRow(
    State state,
    String holder,
    long holderIncarnation,
    String nonce,
    String fingerprint,
    long claimedAtEpochMs,
    StoredAnswer answer) {

  /** How far a claimed request is. */
  public enum State {
    /** The holder may dispatch it, or has done so. */
    CLAIMED,
    /** It was run and answered. */
    ANSWERED,
    /** It may have been run; nobody can tell. */
    UNKNOWN
  }

  /** Returns this row with the answer. */
  public ClaimRow answered(StoredAnswer stored) {
    return new ClaimRow(
        State.ANSWERED, holder, holderIncarnation, nonce, fingerprint, claimedAtEpochMs, stored);
  }

  /** Returns this row with an unknown outcome. */
  public ClaimRow unknown() {
    return new ClaimRow(
        State.UNKNOWN, holder, holderIncarnation, nonce, fingerprint, claimedAtEpochMs, null);
  }
}
