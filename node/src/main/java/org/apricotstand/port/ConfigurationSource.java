package org.apricotstand.port;

/** Where the operators' declarations come from. */
public interface ConfigurationSource {

  /** Reads what is declared now and then every change until the process ends. */
  void follow(ConfigurationListener listener);
}
