package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;

/** What the owner believes about one adapter slot of its engine. */
final class Slot {

  /** State of a slot between orders. */
  enum State {
    LOADING,
    RESIDENT,
    UNLOADING
  }

  private final AdapterVersion adapterVersion;
  private State state;
  private long order;
  private long changedMs;
  private long usedMs;
  private boolean inherited;
  private boolean draining;

  Slot(AdapterVersion adapterVersion, State state, long order, long nowMs) {
    this.adapterVersion = adapterVersion;
    this.state = state;
    this.order = order;
    this.changedMs = nowMs;
    this.usedMs = nowMs;
  }

  AdapterVersion adapterVersion() {
    return adapterVersion;
  }

  /** Number of the order that last changed the slot. */
  long order() {
    return order;
  }

  long changedMs() {
    return changedMs;
  }

  long usedMs() {
    return usedMs;
  }

  /** Whether the slot is in quarantine after a takeover. */
  boolean isInherited() {
    return inherited;
  }

  boolean isResident() {
    return state == State.RESIDENT;
  }

  /** Whether requests may be dispatched to the slot. */
  boolean isServing() {
    return state == State.RESIDENT && !draining;
  }

  boolean isDraining() {
    return draining;
  }

  boolean is(State other) {
    return state == other;
  }

  void change(State next, long newOrder, long nowMs) {
    state = next;
    order = newOrder;
    changedMs = nowMs;
    draining = false;
  }

  void used(long nowMs) {
    usedMs = nowMs;
  }

  void setInherited(boolean value) {
    inherited = value;
  }

  void setDraining(boolean value) {
    draining = value;
  }
}
