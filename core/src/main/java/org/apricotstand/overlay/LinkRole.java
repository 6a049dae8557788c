package org.apricotstand.overlay;

/** Part that the instance at the other end of a link plays for this instance. */
public enum LinkRole {
  /** Relays for this instance: gets its report and all that it learnt elsewhere. */
  RELAY,
  /** Reports to this instance, which relays for it and passes on all that it knows. */
  MEMBER,
  /** Relays elsewhere: gets the state of this domain, and what other relays of its own say. */
  REMOTE,
  /** Is linked to all instances, like this one, and gets the state of this instance. */
  PEER
}
