package org.apricotstand.tenant;

/** What a quota counts. */
public enum QuotaUnit {
  /** Each request counts as 1. */
  REQUESTS,
  /** Each request counts as the tokens that it declares. */
  TOKENS
}
