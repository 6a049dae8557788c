package org.apricotstand.cli;

import java.util.Optional;
import org.apricotstand.configuration.DeclarationApplier;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.revision.HeadRow;

/**
 * The declarations that the platform accepted last.
 *
 * @param revision number of the revision, 0 if there is none yet
 * @param set its declarations, without entries if there is none yet
 */
record AcceptedDeclarations(long revision, DeclarationSet set) {

  /** Reads the accepted revision and its declarations. */
  static Result<AcceptedDeclarations> read(DeclarationApplier applier) {
    return switch (applier.readHead()) {
      case Result.Failed<Optional<HeadRow>>(Failure failure) -> Result.failed(failure);
      case Result.Ok<Optional<HeadRow>>(Optional<HeadRow> row) when row.isPresent() ->
          applier
              .readDeclarations(row.get().head())
              .map(set -> new AcceptedDeclarations(row.get().head().revision(), set));
      case Result.Ok<Optional<HeadRow>> absent ->
          Result.ok(new AcceptedDeclarations(0, DeclarationSet.empty()));
    };
  }
}
