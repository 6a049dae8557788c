package org.apricotstand.it;

/**
 * Network path between processes of a cluster, with its own fault proxy.
 *
 * @param from name of the process that opens connections, or {@link #ANY}
 * @param to name of the process that accepts them
 */
public record Link(String from, String to) {

  /** Value of {@code from} when all clients of a process share one proxy. */
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
