package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import org.apricotstand.Apricotstand;
import org.apricotstand.declaration.DeclarationDiff;
import org.apricotstand.declaration.DeclarationDiff.Change;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
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
      return switch (AcceptedDeclarations.read(resources.createApplier(platformUrl))) {
        case Result.Ok<AcceptedDeclarations>(AcceptedDeclarations accepted) -> {
          List<Change> changes = DeclarationDiff.between(accepted.set(), set);
          changes.forEach(System.out::println);
          System.out.println("revision=" + accepted.revision() + " changes=" + changes.size());
          yield ExitCodes.OK;
        }
        case Result.Failed<AcceptedDeclarations>(Failure failure) -> reportFailure(failure);
      };
    }
  }

  private static int reportFailure(Failure failure) {
    System.err.println("failed: " + failure);
    return ExitCodes.FAILED;
  }
}
