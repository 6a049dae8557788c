package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.apricotstand.Apricotstand;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.settings.Checked;

/** Checks declaration files or a settings file without a platform. */
@Parameters(commandDescription = "checks declaration files, or a settings file, without a platform")
final class CheckCommand implements Command {

  @Parameter(names = "--files", description = "folder of declaration files, or one file")
  private String files;

  @Parameter(names = "--settings", description = "settings file of an instance")
  private String settings;

  @Override
  public int run() {
    if ((files == null) == (settings == null)) {
      System.err.println("error: expected either --files or --settings");
      return ExitCodes.USAGE;
    }
    return files == null
        ? report(Apricotstand.readSettings(Path.of(settings)))
        : report(Apricotstand.readDeclarations(Path.of(files)));
  }

  private static int report(Checked<?> checked) {
    return switch (checked) {
      case Checked.Valid<?>(DeclarationSet set) -> {
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
      case Checked.Valid<?> valid -> {
        System.out.println("valid");
        yield ExitCodes.OK;
      }
      case Checked.Faulty<?> faulty -> {
        System.err.println(faulty.report());
        yield ExitCodes.INVALID_FILE;
      }
    };
  }
}
