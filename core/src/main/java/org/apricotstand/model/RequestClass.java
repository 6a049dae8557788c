package org.apricotstand.model;

/** Priority class of a request, from the highest priority to the lowest. */
public enum RequestClass {
  /** A person waits for the answer, for example a stock check before a show. */
  INTERACTIVE,
  /** Normal priority. */
  STANDARD,
  /** The answer is due within hours, for example a draft for the working day. */
  BACKGROUND
}
