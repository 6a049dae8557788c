package org.apricotstand.declaration;

/** Finds the position of a field of a set of declarations in its source file. */
@FunctionalInterface
public interface FieldLocator {

  /** A field in a file; lines are counted from 1. */
  record Position(String file, int line, String field) {}

  /**
   * Returns the position of a field, or of the nearest enclosing field that is present.
   *
   * @param path path of the field in the whole set, such as {@code adapters[2].route.v3}
   */
  Position locate(String path);
}
