package org.apricotstand.configuration;

import java.util.List;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.ValidationError;
import org.apricotstand.declaration.check.Finding;
import org.apricotstand.settings.ValidationResult;

/**
 * Result of reading and checking declaration files.
 *
 * @param set the declarations, or empty if a finding is an error
 * @param findings errors, or warnings if there are no errors
 */
public record CheckedDeclarations(Optional<DeclarationSet> set, List<Finding> findings) {

  /** Returns the set, or the errors; warnings are left out. */
  public ValidationResult<DeclarationSet> toResult() {
    return set.<ValidationResult<DeclarationSet>>map(ValidationResult.Valid::new)
        .orElseGet(() -> new ValidationResult.Invalid<>(errors()));
  }

  private List<ValidationError> errors() {
    return findings.stream().filter(Finding::isError).map(Finding::toError).toList();
  }
}
