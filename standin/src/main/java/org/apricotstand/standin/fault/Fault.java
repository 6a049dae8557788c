package org.apricotstand.standin.fault;

/**
 * Fault that a {@link FaultProxy} applies to the bytes of one direction of a connection.
 *
 * @param delayMs time in milliseconds that bytes are held before they are forwarded
 * @param holdsBytes whether bytes are held until a later fault releases them, as in a partition
 * @param resetAfterBytes number of bytes that are forwarded before the connection is reset, counted
 *     from the start of the connection
 * @param resetsOnFirstByte whether the first byte resets the connection instead of being forwarded
 */
public record Fault(
    long delayMs, boolean holdsBytes, long resetAfterBytes, boolean resetsOnFirstByte) {

  /** No fault: forwards everything immediately. */
  public static final Fault NONE = new Fault(0, false, Long.MAX_VALUE, false);

  /** Holds bytes for a time in milliseconds. */
  public static Fault delay(long delayMs) {
    return new Fault(delayMs, false, Long.MAX_VALUE, false);
  }

  /** Holds bytes and the end of the connection until the fault is replaced. */
  public static Fault hold() {
    return new Fault(0, true, Long.MAX_VALUE, false);
  }

  /** Resets the connection after a number of bytes. */
  public static Fault resetAfter(long bytes) {
    return new Fault(0, false, bytes, false);
  }

  /**
   * Resets the connection when the first byte arrives. In the direction {@link Direction#TO_CLIENT}
   * the answer is lost to a request that was forwarded.
   */
  public static Fault resetOnFirstByte() {
    return new Fault(0, false, Long.MAX_VALUE, true);
  }
}
