package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import org.apricotstand.Apricotstand;
import org.apricotstand.configuration.CheckedDeclarations;
import org.apricotstand.configuration.DeclarationApplier;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.revision.AcceptedRevision;
import org.apricotstand.revision.ApplyOutcome;

/** Applies a set of declaration files as a whole. */
@Parameters(commandDescription = "applies a set of declaration files as a whole")
final class ApplyCommand implements Command {

  @Parameter(names = "--platform", description = "URL of the platform", required = true)
  private String platformUrl;

  @ParametersDelegate private final FilesOption files = new FilesOption();

  @Parameter(
      names = "--base",
      description = "revision on which the change is based; the current one when absent")
  private Long base;

  @Override
  public int run() {
    CheckedDeclarations checked = Apricotstand.checkDeclarations(files.requiredPath());
    checked.findings().forEach(System.err::println);
    if (checked.set().isEmpty()) {
      System.err.println("not accepted: " + checked.findings().size() + " error(s) in the files");
      return ExitCodes.INVALID_FILE;
    }
    return apply(checked.set().get());
  }

  private int apply(DeclarationSet set) {
    OptionalLong baseRevision = base == null ? OptionalLong.empty() : OptionalLong.of(base);
    try (HttpResources resources = new HttpResources()) {
      DeclarationApplier applier = resources.createApplier(platformUrl);
      return report(applier, set, applier.apply(set, UUID.randomUUID().toString(), baseRevision));
    }
  }

  private static int report(DeclarationApplier applier, DeclarationSet set, ApplyOutcome outcome) {
    return switch (outcome) {
      case ApplyOutcome.Accepted(long revision) -> {
        System.out.println("accepted revision=" + revision);
        yield ExitCodes.OK;
      }
      case ApplyOutcome.Unchanged(long revision) -> {
        System.out.println("unchanged revision=" + revision);
        yield ExitCodes.OK;
      }
      case ApplyOutcome.Conflict conflict -> {
        System.err.println(describe(applier, set, conflict));
        yield ExitCodes.CONFLICT;
      }
      case ApplyOutcome.Refused(Failure failure) -> {
        System.err.println("not accepted: " + failure);
        yield ExitCodes.FAILED;
      }
      case ApplyOutcome.Unknown(long revision, Failure failure) -> {
        System.err.println(
            "unknown whether accepted as revision " + revision + ", see diff: " + failure);
        yield ExitCodes.OUTCOME_UNKNOWN;
      }
    };
  }

  private static String describe(
      DeclarationApplier applier, DeclarationSet set, ApplyOutcome.Conflict conflict) {
    String baseText =
        conflict
            .base()
            .map(AcceptedRevision::revision)
            .map(number -> "revision " + number)
            .orElse("none");
    String message =
        "not accepted: conflict with revision "
            + conflict.other().revision()
            + ", which was accepted meanwhile (base: "
            + baseText
            + ")";
    return switch (applier.conflictingFields(set, conflict)) {
      case Result.Ok<List<String>>(List<String> fields) when fields.isEmpty() ->
          message + "\nno field was changed by both";
      case Result.Ok<List<String>>(List<String> fields) ->
          message + "\nchanged by both:\n  " + String.join("\n  ", fields);
      case Result.Failed<List<String>>(Failure failure) ->
          message + "\nthe fields in conflict cannot be read: " + failure;
    };
  }
}
