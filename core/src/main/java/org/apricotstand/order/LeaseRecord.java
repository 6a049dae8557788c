package org.apricotstand.order;

/**
 * Row of an engine's lease in the table service.
 *
 * @param engine id of the engine
 * @param holder name of the instance that may send commands, or that may have sent the last one
 * @param released whether the holder gave the lease up; empty holders have released rows
 * @param rowVersion version of the row; 0 when there is none
 */
public record LeaseRecord(String engine, String holder, boolean released, long rowVersion) {

  private static final String RELEASED_PREFIX = "released ";

  /** Returns the row of an engine that nobody has owned yet. */
  static LeaseRecord absent(String engine) {
    return new LeaseRecord(engine, "", true, 0);
  }

  /** Returns a row that was read, see {@link #content()}. */
  public static LeaseRecord decode(String engine, String content, long rowVersion) {
    boolean released = content.startsWith(RELEASED_PREFIX);
    String holder = released ? content.substring(RELEASED_PREFIX.length()) : content;
    return new LeaseRecord(engine, holder, released, rowVersion);
  }

  /** Returns the content of the row in the table service. */
  public String content() {
    return released ? RELEASED_PREFIX + holder : holder;
  }
}
