package org.apricotstand.kernel;

/** A part of an instance that the kernel starts and stops. */
public interface Service {

  /** Starts the service; services registered earlier are running already. */
  default void start() {}

  /** Stops the service and releases what it holds. */
  default void stop() {}
}
