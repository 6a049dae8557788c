package org.apricotstand.enginelease;

/**
 * Row of the table service that stores the lease of an engine.
 *
 * @param engine id of the engine
 * @param holder name of the instance that holds the lease or, when it is released, held it last;
 *     empty if no instance ever held it
 * @param released whether the holder released the lease; also true when no instance ever held it
 * @param rowVersion version of the stored row; 0 when it does not exist
 */
public record LeaseRecord(String engine, String holder, boolean released, long rowVersion) {

  private static final String RELEASED_PREFIX = "released ";

  /** Returns the record of an engine that has no row yet. */
  static LeaseRecord absent(String engine) {
    return new LeaseRecord(engine, "", true, 0);
  }

  /** Decodes the content of a stored row, see {@link #content()}. */
  public static LeaseRecord decode(String engine, String content, long rowVersion) {
    boolean released = content.startsWith(RELEASED_PREFIX);
    String holder = released ? content.substring(RELEASED_PREFIX.length()) : content;
    return new LeaseRecord(engine, holder, released, rowVersion);
  }

  /** Returns the content of the row: the name of the holder, with a prefix when released. */
  public String content() {
    return released ? RELEASED_PREFIX + holder : holder;
  }
}
