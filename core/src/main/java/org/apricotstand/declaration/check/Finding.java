package org.apricotstand.declaration.check;

import java.util.Comparator;
import org.apricotstand.declaration.FieldLocator.Position;
import org.apricotstand.declaration.ValidationError;

/**
 * A result of the check of a set of declarations.
 *
 * @param severity whether the set is refused
 * @param rule name of the rule, such as {@code service-without-target}
 * @param file file that contains the field
 * @param line line number, counted from 1
 * @param field path of the field, such as {@code adapters[2].shift}
 * @param message description that names the declaration and its value
 */
public record Finding(
    Severity severity, String rule, String file, int line, String field, String message) {

  /**
   * Name of the rule of all errors of {@link org.apricotstand.declaration.DeclarationValidator}.
   */
  public static final String INVALID_FIELD = "invalid-field";

  /** Order in a report: by file, then line, then field. */
  public static final Comparator<Finding> ORDER =
      Comparator.comparing(Finding::file)
          .thenComparingInt(Finding::line)
          .thenComparing(Finding::field);

  /** Severity of a finding. */
  public enum Severity {
    /** The set is refused. */
    ERROR,
    /** The set can be applied, but a declaration has no effect or contradicts another one. */
    WARNING
  }

  /** Creates the finding for a validation error. */
  public static Finding of(ValidationError error) {
    return new Finding(
        Severity.ERROR, INVALID_FIELD, error.file(), error.line(), error.field(), error.expected());
  }

  static Finding at(Severity severity, String rule, Position position, String message) {
    return new Finding(severity, rule, position.file(), position.line(), position.field(), message);
  }

  /** Returns the finding as a validation error, without its rule. */
  public ValidationError toError() {
    return new ValidationError(file, line, field, message);
  }

  /** Returns whether the finding is an error. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  /** Returns the text of the report; that of an error is the same as of its validation error. */
  @Override
  public String toString() {
    String prefix = file + ":" + line + ": " + field + ": ";
    return isError() ? prefix + message : prefix + "warning: " + message;
  }
}
