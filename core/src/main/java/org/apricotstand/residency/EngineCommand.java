package org.apricotstand.residency;

/** A control command to an engine. */
public sealed interface EngineCommand {

  /** Returns the model or adapter to load or unload. */
  AdapterKey key();

  /**
   * Loads a model or an adapter, or replaces the loaded version by another one.
   *
   * @param version version to load; 0 for the newest one
   */
  record Load(AdapterKey key, long version) implements EngineCommand {}

  /** Unloads a model or an adapter after the requests that use it have ended. */
  record Unload(AdapterKey key) implements EngineCommand {}
}
