package org.apricotstand.standin.fault;

/**
 * What happens to the bytes of one direction of a connection.
 *
 * @param delayMs time that bytes are kept before they are passed on
 * @param held whether bytes are kept until a later fault releases them, as in a partition
 * @param cutAfterBytes bytes that are passed on before the connection is reset; counted from the
 *     start of the connection
 * @param lost whether the first byte resets the connection instead of being passed on
 */
public record Fault(long delayMs, boolean held, long cutAfterBytes, boolean lost) {

  /** Passes everything on at once. */
  public static final Fault NONE = new Fault(0, false, Long.MAX_VALUE, false);

  /** Keeps bytes for a time. */
  public static Fault delay(long delayMs) {
    return new Fault(delayMs, false, Long.MAX_VALUE, false);
  }

  /** Keeps bytes, and the end of the connection, until the fault is replaced. */
  public static Fault hold() {
    return new Fault(0, true, Long.MAX_VALUE, false);
  }

  /** Resets the connection after a number of bytes. */
  public static Fault cutAfter(long bytes) {
    return new Fault(0, false, bytes, false);
  }

  /**
   * Resets the connection when the first byte arrives. In the direction {@link Direction#TO_CALLER}
   * this loses the answer to a request that was passed on.
   */
  public static Fault lose() {
    return new Fault(0, false, Long.MAX_VALUE, true);
  }
}
