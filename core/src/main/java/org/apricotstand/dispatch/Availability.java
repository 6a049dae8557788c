package org.apricotstand.dispatch;

/** Whether a target can run a request now, and what it lacks otherwise. */
public enum Availability {
  /** Can run the request now. */
  RESIDENT,
  /** What the request needs is on its way. */
  ARRIVING,
  /** The request waits there already for what it needs. */
  ASKED,
  /** Holds an older version than the request needs. */
  STALE,
  /** Held what is missing recently and loads it fast. */
  WARM,
  /** Has to fetch what is missing from the weight store. */
  COLD,
  /** Lacks the base model, without which it loads no adapter. */
  NO_MODEL
}
