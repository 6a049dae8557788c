package org.apricotstand.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.apricotstand.declaration.ValidationError;

/**
 * Result of reading and checking files: a value, or all errors that were found.
 *
 * <pre>{@code
 * switch (InstanceSettings.read(file)) {
 *   case ValidationResult.Valid<InstanceSettings>(InstanceSettings settings) -> start(settings);
 *   case ValidationResult.Invalid<InstanceSettings> invalid ->
 *       System.err.println(invalid.report());
 * }
 * }</pre>
 */
public sealed interface ValidationResult<T> {

  /** The files have no errors. */
  record Valid<T>(T value) implements ValidationResult<T> {}

  /** The files have errors, which are sorted by file, line and field. */
  record Invalid<T>(List<ValidationError> errors) implements ValidationResult<T> {

    /** Sorts the errors and removes duplicates. */
    public Invalid {
      errors = errors.stream().distinct().sorted(ValidationError.ORDER).toList();
    }

    /** Returns the errors as text, one line each. */
    public String report() {
      return errors.stream().map(ValidationError::toString).collect(Collectors.joining("\n"));
    }
  }
}
