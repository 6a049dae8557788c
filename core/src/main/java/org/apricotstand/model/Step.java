package org.apricotstand.model;

/** Step in the processing of a request or an engine command at which a failure occurred. */
public enum Step {
  /** Reading and checking the caller's request. */
  ADMISSION,
  /** Choosing a target. */
  PLACEMENT,
  /** Claiming a non-idempotent request. */
  CLAIM,
  /** Sending the request from the entry instance to the owner. */
  PEER,
  /** Waiting in the owner's queue. */
  QUEUE,
  /** Loading or unloading an adapter. */
  LOAD,
  /** Sending the request to the target. */
  DISPATCH,
  /** Receiving the target's answer. */
  ANSWER,
  /** Calling a service of the platform. */
  PLATFORM
}
