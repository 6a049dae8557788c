package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.Optional;
import org.apricotstand.Apricotstand;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.settings.ValidationResult;

/** Checks declaration files or a settings file without a platform. */
@Parameters(commandDescription = "checks declaration files, or a settings file, without a platform")
final class CheckCommand implements Command {

  @ParametersDelegate private final FilesOption files = new FilesOption();

  @Parameter(names = "--settings", description = "settings file of an instance")
  private String settings;

  @Override
  public int run() {
    Optional<Path> declarations = files.path();
    if (declarations.isPresent() == (settings != null)) {
      throw new ParameterException(
          "expected either a folder or file of declarations, or --settings FILE");
    }
    return declarations.isPresent()
        ? report(Apricotstand.readDeclarations(declarations.get()))
        : report(Apricotstand.readSettings(Path.of(settings)));
  }

  private static int report(ValidationResult<?> result) {
    return switch (result) {
      case ValidationResult.Valid<?>(DeclarationSet set) -> {
        System.out.println(
            "valid: models=%d adapters=%d aliases=%d services=%d targets=%d"
                .formatted(
                    set.models().size(),
                    set.adapters().size(),
                    set.aliases().size(),
                    set.services().size(),
                    set.targets().size()));
        yield ExitCodes.OK;
      }
      case ValidationResult.Valid<?> valid -> {
        System.out.println("valid");
        yield ExitCodes.OK;
      }
      case ValidationResult.Invalid<?> invalid -> {
        System.err.println(invalid.report());
        yield ExitCodes.INVALID_FILE;
      }
    };
  }
}
