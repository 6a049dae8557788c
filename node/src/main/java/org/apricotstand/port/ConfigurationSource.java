package org.apricotstand.port;

/** Provides the declarations of the operators. */
public interface ConfigurationSource {

  /**
   * Passes the current declarations to the listener, then every change until the process ends.
   *
   * @param sharing shares the reads with other instances
   */
  void subscribe(ConfigurationListener listener, TableSharing sharing);
}
