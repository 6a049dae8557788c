package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import java.util.Optional;
import org.apricotstand.Apricotstand;
import org.apricotstand.configuration.DeclarationApplier;
import org.apricotstand.declaration.DeclarationDiff;
import org.apricotstand.declaration.DeclarationDiff.Change;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.revision.HeadRow;
import org.apricotstand.settings.ValidationResult;

/** Shows which fields {@code apply} would change in the accepted declarations. */
@Parameters(commandDescription = "shows what apply would change, field by field")
final class DiffCommand implements Command {

  @Parameter(names = "--platform", description = "URL of the platform", required = true)
  private String platformUrl;

  @ParametersDelegate private final FilesOption files = new FilesOption();

  @Override
  public int run() {
    return switch (Apricotstand.readDeclarations(files.requiredPath())) {
      case ValidationResult.Valid<DeclarationSet>(DeclarationSet set) -> compare(set);
      case ValidationResult.Invalid<DeclarationSet> invalid -> {
        System.err.println(invalid.report());
        yield ExitCodes.INVALID_FILE;
      }
    };
  }

  private int compare(DeclarationSet set) {
    try (HttpResources resources = new HttpResources()) {
      DeclarationApplier applier = resources.createApplier(platformUrl);
      return switch (applier.readHead()) {
        case Result.Ok<Optional<HeadRow>>(Optional<HeadRow> headRow) ->
            compare(applier, headRow, set);
        case Result.Failed<Optional<HeadRow>>(Failure failure) -> reportFailure(failure);
      };
    }
  }

  private static int compare(
      DeclarationApplier applier, Optional<HeadRow> headRow, DeclarationSet set) {
    Result<DeclarationSet> acceptedSet =
        headRow
            .map(HeadRow::head)
            .map(applier::readDeclarations)
            .orElseGet(() -> Result.ok(DeclarationSet.empty()));
    return switch (acceptedSet) {
      case Result.Ok<DeclarationSet>(DeclarationSet before) -> {
        List<Change> changes = DeclarationDiff.between(before, set);
        changes.forEach(System.out::println);
        long revision = headRow.map(read -> read.head().revision()).orElse(0L);
        System.out.println("revision=" + revision + " changes=" + changes.size());
        yield ExitCodes.OK;
      }
      case Result.Failed<DeclarationSet>(Failure failure) -> reportFailure(failure);
    };
  }

  private static int reportFailure(Failure failure) {
    System.err.println("failed: " + failure);
    return ExitCodes.FAILED;
  }
}
