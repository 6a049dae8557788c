package org.apricotstand.dispatch;

/** Whether a target can run a request now, and if not, what has to be loaded first. */
public enum Availability {
  /** Holds the adapter in the required version, or the request needs no adapter. */
  RESIDENT,
  /** The model or adapter is being loaded. */
  LOADING,
  /** The request has already asked for the load at this target and waits for it. */
  LOAD_REQUESTED,
  /** Holds an older version than the request needs. */
  STALE,
  /** Held the adapter recently and keeps a copy that loads fast. */
  WARM,
  /** Has to fetch the adapter from the weight store. */
  COLD,
  /** Lacks the base model, which must be loaded before any adapter. */
  NO_MODEL
}
