package org.apricotstand.claim;

/** Failure codes of requests that are claimed. */
public final class ClaimCodes {

  /** The insert of the claim could not be sent to the table service. */
  public static final String STORE_UNREACHABLE = "claim_store_unreachable";

  /** The table service did not confirm the insert of the claim before the deadline. */
  public static final String STORE_SILENT = "claim_store_silent";

  /** The claim belongs to a different request with the same idempotency key. */
  public static final String IDEMPOTENCY_KEY_REUSED = "identity_reused";

  /** The attempt that holds the claim ended with an unknown outcome. */
  public static final String EARLIER_OUTCOME_UNKNOWN = "former_outcome_unknown";

  /** The holder is gone or no longer knows the claim, and the row contains no outcome. */
  public static final String HOLDER_LOST = "claim_holder_lost";

  /** The holder did not report an outcome before the deadline of the duplicate request. */
  public static final String WAIT_TIMED_OUT = "claim_wait_timed_out";

  /** No byte was sent to a target, but the deletion of the claim was not confirmed. */
  public static final String RELEASE_UNCONFIRMED = "claim_release_unconfirmed";

  /** The attempt that held the claim was abandoned before a byte was sent. */
  public static final String RELEASED = "claim_released";

  /** The limit of duplicates that wait for one request is reached. */
  public static final String TOO_MANY_DUPLICATES = "too_many_repeats";

  private ClaimCodes() {}
}
