package org.apricotstand.port;

/** Provides the list of targets. */
public interface TargetSource {

  /** Passes the current list to the listener, then every change until the process ends. */
  void subscribe(TargetListener listener);
}
