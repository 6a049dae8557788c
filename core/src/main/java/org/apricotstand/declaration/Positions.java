package org.apricotstand.declaration;

/** Finds where a field of a set of declarations was written. */
@FunctionalInterface
public interface Positions {

  /** A place in a file; lines are counted from 1. */
  record Position(String file, int line, String field) {}

  /**
   * Returns the place of a field, or of the nearest enclosing field that was written.
   *
   * @param path path in the whole set, such as {@code adapters[2].route.v3}
   */
  Position locate(String path);
}
