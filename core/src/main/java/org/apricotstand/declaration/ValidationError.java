package org.apricotstand.declaration;

import java.util.Comparator;

/**
 * An error in a declaration or settings file.
 *
 * @param file file that contains it
 * @param line line number, counted from 1
 * @param field path of the field, such as {@code adapters[2].route.v3}
 * @param expected description of what was expected
 */
public record ValidationError(String file, int line, String field, String expected) {

  /** Order in a report: by file, then line, then field. */
  public static final Comparator<ValidationError> ORDER =
      Comparator.comparing(ValidationError::file)
          .thenComparingInt(ValidationError::line)
          .thenComparing(ValidationError::field);

  @Override
  public String toString() {
    return file + ":" + line + ": " + field + ": " + expected;
  }
}
