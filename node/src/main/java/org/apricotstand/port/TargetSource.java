package org.apricotstand.port;

/** Provides the list of targets. */
public interface TargetSource {

  /**
   * Passes the current list to the listener, then every change until the process ends.
   *
   * @param sharing shares the reads with other instances
   */
  void subscribe(TargetListener listener, TableSharing sharing);
}
