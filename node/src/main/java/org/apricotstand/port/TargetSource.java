package org.apricotstand.port;

/** The list of targets. */
public interface TargetSource {

  /** Reads the list and then every change until the process ends. */
  void follow(TargetListener listener);
}
