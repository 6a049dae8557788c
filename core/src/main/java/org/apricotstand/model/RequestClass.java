package org.apricotstand.model;

/** Priority class of a request; an earlier constant goes first. */
public enum RequestClass {
  /** Somebody waits for the answer, such as a stock check before a show. */
  INTERACTIVE,
  /** The usual class. */
  STANDARD,
  /** Due within hours, such as a draft for the working day. */
  BACKGROUND
}
