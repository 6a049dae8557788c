package org.apricotstand.claim;

/** Codes of the failures that arise while a request is claimed. */
public final class ClaimCodes {

  /** Nothing could be sent to the table service. */
  public static final String STORE_UNREACHABLE = "claim_store_unreachable";

  /** The table service did not confirm the insert before the deadline. */
  public static final String STORE_SILENT = "claim_store_silent";

  /** The row belongs to another request with the same identity. */
  public static final String IDENTITY_REUSED = "identity_reused";

  /** The first sending ended with an unknown outcome. */
  public static final String FORMER_UNKNOWN = "former_outcome_unknown";

  /** The holder of the claim is gone, or has forgotten it, and the row has no ending. */
  public static final String HOLDER_LOST = "claim_holder_lost";

  /** The holder gave no answer before the deadline of the repeat. */
  public static final String WAIT_TIMED_OUT = "claim_wait_timed_out";

  /** No byte was sent, but the removal of the claim was not confirmed. */
  public static final String RELEASE_UNCONFIRMED = "claim_release_unconfirmed";

  /** The first sending was given up before a byte was sent. */
  public static final String RELEASED = "claim_released";

  /** More repeats of one request wait than are kept. */
  public static final String TOO_MANY_REPEATS = "too_many_repeats";

  private ClaimCodes() {}
}
