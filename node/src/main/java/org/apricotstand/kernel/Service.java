package org.apricotstand.kernel;

/** Component of an instance that the {@link Kernel} starts and stops. */
public interface Service {

  /** Starts the service. Services that were registered earlier are already started. */
  default void start() {}

  /** Stops the service and releases its resources. */
  default void stop() {}
}
