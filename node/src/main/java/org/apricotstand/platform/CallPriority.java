package org.apricotstand.platform;

/** Order in which waiting calls of the platform are sent; an earlier constant goes first. */
public enum CallPriority {
  /** Renewals of leases and changes of ownership. */
  LEASE,
  /** Claims of non-idempotent requests. */
  CLAIM,
  /** Declarations and the head row. */
  CONFIGURATION,
  /** Instance list, announcements and the rest. */
  STATUS;

  /** Returns the priority of calls that concern a table. */
  static CallPriority ofTable(String table) {
    return switch (table) {
      case "leases", "owners", "budgets" -> LEASE;
      case "claims" -> CLAIM;
      case "heads" -> CONFIGURATION;
      default -> STATUS;
    };
  }
}
