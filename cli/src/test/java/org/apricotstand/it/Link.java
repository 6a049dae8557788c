package org.apricotstand.it;

/**
 * A connection path of a cluster that has a fault proxy of its own.
 *
 * @param from process that opens connections, or {@link #ANY}
 * @param to process that accepts them
 */
public record Link(String from, String to) {

  /** Stands for every process that uses the same proxy. */
  public static final String ANY = "*";

  /** Path from callers to an entry instance. */
  public static Link callersTo(String entry) {
    return new Link(ANY, entry);
  }

  /** Path from all entry instances to a target. */
  public static Link toTarget(String target) {
    return new Link(ANY, target);
  }

  /** Path from one entry instance, or from an engine, to the platform. */
  public static Link toPlatform(String from) {
    return new Link(from, ProcessCluster.PLATFORM);
  }

  /** Path on which one entry instance opens peer links to another one. */
  public static Link peer(String from, String to) {
    return new Link(from, to);
  }
}
