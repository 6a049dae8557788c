package org.apricotstand.claim;

/**
 * Content of a claim row.
 *
 * @param state progress of the request
 * @param holder name of the instance that made the claim
 * @param holderIncarnation incarnation of that instance
 * @param nonce unique identifier of the attempt that made the claim
 * @param fingerprint hash of method, path and body
 * @param claimedAtEpochMs wall-clock time of the claim, used only to remove old rows
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

  /** Progress of a claimed request. */
  public enum State {
    /** The holder may dispatch the request or has dispatched it. */
    CLAIMED,
    /** The request was run and its answer is stored. */
    ANSWERED,
    /** The request may have been run; its outcome cannot be determined. */
    UNKNOWN
  }

  /** Returns a copy in state {@link State#ANSWERED} with the given answer. */
  public ClaimRow withAnswer(StoredAnswer newAnswer) {
    return new ClaimRow(
        State.ANSWERED, holder, holderIncarnation, nonce, fingerprint, claimedAtEpochMs, newAnswer);
  }

  /** Returns a copy in state {@link State#UNKNOWN}. */
  public ClaimRow withUnknownOutcome() {
    return new ClaimRow(
        State.UNKNOWN, holder, holderIncarnation, nonce, fingerprint, claimedAtEpochMs, null);
  }
}
