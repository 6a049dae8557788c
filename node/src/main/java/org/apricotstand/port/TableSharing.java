package org.apricotstand.port;

import java.util.List;
import org.apricotstand.model.StoreVersion;

/**
 * Shares what one instance reads from a table with others, so that the number of reads does not
 * grow with the number of instances. All methods are called on the control thread.
 */
public interface TableSharing {

  /** How an instance takes part. */
  enum Role {
    /** Each instance of a small fleet reads for itself. */
    MESH,

    /** The instance reads for its members. */
    RELAY,

    /** Another instance reads for this one. */
    MEMBER
  }

  /** Receives what other instances read. */
  interface Listener {

    /** Called with rows that changed. They may come late, twice or out of order. */
    void onShared(List<RowChange> rows);

    /**
     * Called when all changes after one version and up to another have been passed on.
     *
     * @return whether this instance knows all changes up to the first version, so that it needs not
     *     read itself
     */
    boolean onSharedUpTo(StoreVersion fromVersion, StoreVersion version);

    /** Called when another instance can read the table again after an outage. */
    void onSharedRecovery();
  }

  /**
   * Sets the listener for a table.
   *
   * @param readPeriodMs longest time between two reads of an instance that reads the table
   */
  void subscribe(String table, long readPeriodMs, Listener listener);

  /** Returns whether this instance has to read the table itself now. */
  boolean mustRead(String table);

  /** Returns how this instance takes part now. */
  Role role();

  /**
   * Returns a number from 0 to 1 that is different at each instance, to spread over time what all
   * of them do for the same reason.
   */
  double staggerFraction();

  /**
   * Passes on what this instance read.
   *
   * @param rows rows that changed since the last read
   * @param fromVersion version since which this instance has passed on all changes that it knows
   * @param version newest version of the table
   */
  void share(String table, List<RowChange> rows, StoreVersion fromVersion, StoreVersion version);

  /**
   * Passes on rows that a restored store has lost, also in a fleet in which each instance reads for
   * itself.
   */
  void shareLost(String table, List<RowChange> rows);

  /** Passes on that this instance can read the table again after an outage. */
  void shareRecovery(String table);
}
