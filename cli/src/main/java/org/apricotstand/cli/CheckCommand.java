package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apricotstand.Apricotstand;
import org.apricotstand.cli.CheckReport.Comparison;
import org.apricotstand.configuration.CheckedDeclarations;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.check.Finding;
import org.apricotstand.model.Result;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.ValidationResult;

/** Checks declaration files or a settings file; it only reads, also from the platform. */
@Parameters(
    commandDescription =
        "checks declaration files, or a settings file, and compares declarations with other ones")
final class CheckCommand implements Command {

  @ParametersDelegate private final FilesOption files = new FilesOption();

  @Parameter(names = "--settings", description = "settings file of an instance")
  private String settings;

  @Parameter(
      names = "--against",
      description = "folder or file of declarations to compare the checked ones with")
  private String against;

  @Parameter(
      names = "--platform",
      description = "URL of the platform whose accepted revision to compare with")
  private String platformUrl;

  @Parameter(names = "--output", description = "text or json")
  private String output = "text";

  @Override
  public int run() {
    requireConsistentOptions();
    CheckReport report = settings == null ? checkDeclarations() : checkSettings();
    if (output.equals("json")) {
      report.printJson();
    } else {
      report.printText();
    }
    return report.exitCode();
  }

  private void requireConsistentOptions() {
    if (files.path().isPresent() == (settings != null)) {
      throw new ParameterException(
          "expected either a folder or file of declarations, or --settings FILE");
    }
    if (against != null && platformUrl != null) {
      throw new ParameterException("expected either --against or --platform, not both");
    }
    if (settings != null && (against != null || platformUrl != null)) {
      throw new ParameterException("expected no --against and no --platform with --settings");
    }
    if (!List.of("text", "json").contains(output)) {
      throw new ParameterException("expected --output text or json, got " + output);
    }
  }

  private CheckReport checkSettings() {
    List<Finding> findings =
        switch (Apricotstand.readSettings(Path.of(settings))) {
          case ValidationResult.Valid<InstanceSettings> valid -> List.of();
          case ValidationResult.Invalid<InstanceSettings> invalid -> toFindings(invalid);
        };
    return new CheckReport("valid", findings, Optional.empty());
  }

  private CheckReport checkDeclarations() {
    CheckedDeclarations checked = Apricotstand.checkDeclarations(files.requiredPath());
    if (checked.set().isEmpty()) {
      return new CheckReport("", checked.findings(), Optional.empty());
    }
    DeclarationSet set = checked.set().get();
    String summary = summaryOf(set);
    if (platformUrl != null) {
      return new CheckReport(summary, checked.findings(), Optional.of(compareWithAcceptedSet(set)));
    }
    if (against == null) {
      return new CheckReport(summary, checked.findings(), Optional.empty());
    }
    return switch (Apricotstand.readDeclarations(Path.of(against))) {
      case ValidationResult.Valid<DeclarationSet>(DeclarationSet before) ->
          new CheckReport(
              summary,
              checked.findings(),
              Optional.of(Result.ok(Comparison.of(against, before, set))));
      case ValidationResult.Invalid<DeclarationSet> invalid ->
          new CheckReport(summary, toFindings(invalid), Optional.empty());
    };
  }

  private Result<Comparison> compareWithAcceptedSet(DeclarationSet set) {
    try (HttpResources resources = new HttpResources()) {
      return AcceptedDeclarations.read(resources.createApplier(platformUrl))
          .map(accepted -> Comparison.of("revision " + accepted.revision(), accepted.set(), set));
    }
  }

  private static List<Finding> toFindings(ValidationResult.Invalid<?> invalid) {
    return invalid.errors().stream().map(Finding::of).toList();
  }

  private static String summaryOf(DeclarationSet set) {
    return "valid: models=%d adapters=%d aliases=%d services=%d targets=%d"
        .formatted(
            set.models().size(),
            set.adapters().size(),
            set.aliases().size(),
            set.services().size(),
            set.targets().size());
  }
}
