package org.apricotstand.dispatch;

/**
 * Number of requests at a target.
 *
 * @param started requests of which the first byte of the answer has arrived
 * @param waiting requests of which no byte of the answer has arrived
 */
public record TargetLoad(int started, int waiting) {

  /** The load of a target without requests. */
  public static final TargetLoad NONE = new TargetLoad(0, 0);

  /** Returns the sum of two loads. */
  public TargetLoad plus(TargetLoad other) {
    return new TargetLoad(started + other.started, waiting + other.waiting);
  }

  /** Returns the number of all requests. */
  public int total() {
    return started + waiting;
  }
}
