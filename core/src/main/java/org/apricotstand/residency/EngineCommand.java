package org.apricotstand.residency;

/** A control command to an engine. */
public sealed interface EngineCommand {

  /** Returns what the command concerns. */
  AdapterKey key();

  /**
   * Loads a model or an adapter, or replaces it by another version.
   *
   * @param version version to load; 0 for the newest
   */
  record Load(AdapterKey key, long version) implements EngineCommand {}

  /** Drops a model or an adapter after its runs. */
  record Unload(AdapterKey key) implements EngineCommand {}
}
