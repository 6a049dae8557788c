package org.apricotstand.platform;

/** Priority of waiting calls to the platform, highest first. */
public enum CallPriority {
  /** Lease renewals and changes of ownership. */
  LEASE,
  /** Claims of non-idempotent requests. */
  CLAIM,
  /** Declarations and the head row, which names the newest accepted revision. */
  CONFIGURATION,
  /** The instance list, announcements and all other calls. */
  STATUS;

  /** Returns the priority of calls for a table. */
  static CallPriority ofTable(String table) {
    return switch (table) {
      case "leases", "owners", "budgets" -> LEASE;
      case "claims" -> CLAIM;
      case "heads" -> CONFIGURATION;
      default -> STATUS;
    };
  }
}
