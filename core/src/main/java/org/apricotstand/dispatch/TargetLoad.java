package org.apricotstand.dispatch;

/**
 * Requests at a target, over all instances.
 *
 * @param started requests whose first byte arrived
 * @param waiting requests without a first byte
 */
public record TargetLoad(int started, int waiting) {

  /** No request. */
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
