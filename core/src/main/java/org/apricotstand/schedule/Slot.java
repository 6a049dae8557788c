package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;

/** State of one adapter slot of an engine, as known to its owner. */
final class Slot {

  /** State of a slot according to the last command or report. */
  enum State {
    LOADING,
    RESIDENT,
    UNLOADING
  }

  private final AdapterVersion adapterVersion;
  private State state;
  private long lastCommandId;
  private long lastChangedMs;
  private long lastUsedMs;
  private boolean quarantined;
  private boolean draining;

  Slot(AdapterVersion adapterVersion, State state, long commandId, long nowMs) {
    this.adapterVersion = adapterVersion;
    this.state = state;
    this.lastCommandId = commandId;
    this.lastChangedMs = nowMs;
    this.lastUsedMs = nowMs;
  }

  AdapterVersion adapterVersion() {
    return adapterVersion;
  }

  /** Returns the id of the command that last changed the slot. */
  long lastCommandId() {
    return lastCommandId;
  }

  long lastChangedMs() {
    return lastChangedMs;
  }

  long lastUsedMs() {
    return lastUsedMs;
  }

  /** Returns whether the slot must not be evicted because a former owner may still use it. */
  boolean isQuarantined() {
    return quarantined;
  }

  boolean isResident() {
    return state == State.RESIDENT;
  }

  /** Returns whether requests may be dispatched to the slot. */
  boolean isServing() {
    return state == State.RESIDENT && !draining;
  }

  /** Returns whether no requests are dispatched to the slot so that it can be unloaded. */
  boolean isDraining() {
    return draining;
  }

  boolean hasState(State other) {
    return state == other;
  }

  void changeState(State next, long newCommandId, long nowMs) {
    state = next;
    lastCommandId = newCommandId;
    lastChangedMs = nowMs;
    draining = false;
  }

  void markUsed(long nowMs) {
    lastUsedMs = nowMs;
  }

  void setQuarantined(boolean value) {
    quarantined = value;
  }

  void setDraining(boolean value) {
    draining = value;
  }
}
