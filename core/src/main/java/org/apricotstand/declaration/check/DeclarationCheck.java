package org.apricotstand.declaration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationValidator;
import org.apricotstand.declaration.FieldLocator;

/**
 * Checks a set of declarations: errors, entries that have no effect, and limits that contradict
 * each other.
 *
 * <pre>{@code
 * List<Finding> findings = DeclarationCheck.check(set, locator);
 * }</pre>
 */
public final class DeclarationCheck {

  /** Name of the rule that a set must declare something. */
  public static final String EMPTY_SET = "empty-set";

  private static final String WHOLE_FILE = "(file)";

  private DeclarationCheck() {}

  /**
   * Returns the findings ordered by file, line and field. A set with errors is not searched for
   * warnings, since most of them follow references that may be broken.
   */
  public static List<Finding> check(DeclarationSet set, FieldLocator locator) {
    List<Finding> errors = new ArrayList<>();
    DeclarationValidator.validate(set, locator).stream().map(Finding::of).forEach(errors::add);
    if (isEmpty(set)) {
      errors.add(
          Finding.at(
              Finding.Severity.ERROR,
              EMPTY_SET,
              locator.locate(WHOLE_FILE),
              "expected at least one model, adapter, alias, service or target, got none"));
    }
    return errors.isEmpty() ? warnings(set, locator) : sorted(errors.stream());
  }

  private static List<Finding> warnings(DeclarationSet set, FieldLocator locator) {
    return sorted(
        Stream.concat(
            new UnusedEntries(set, locator).find().stream(),
            new LimitConflicts(set, locator).find().stream()));
  }

  private static List<Finding> sorted(Stream<Finding> findings) {
    return findings.sorted(Finding.ORDER).toList();
  }

  private static boolean isEmpty(DeclarationSet set) {
    return set.models().isEmpty()
        && set.adapters().isEmpty()
        && set.aliases().isEmpty()
        && set.services().isEmpty()
        && set.targets().isEmpty();
  }
}
