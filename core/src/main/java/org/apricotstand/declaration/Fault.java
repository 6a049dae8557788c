package org.apricotstand.declaration;

import java.util.Comparator;

/**
 * A fault in a declaration or settings file.
 *
 * @param file file that contains it
 * @param line line, counted from 1
 * @param field path of the field, such as {@code adapters[2].route.v3}
 * @param expected what was expected there
 */
public record Fault(String file, int line, String field, String expected) {

  /** Order of a report: by file, then line. */
  public static final Comparator<Fault> ORDER =
      Comparator.comparing(Fault::file).thenComparingInt(Fault::line).thenComparing(Fault::field);

  @Override
  public String toString() {
    return file + ":" + line + ": " + field + ": " + expected;
  }
}
