package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;

/** Applies a set of declaration files as a whole. */
@Parameters(commandDescription = "applies a set of declaration files as a whole")
final class ApplyCommand implements Command {

  @Parameter(names = "--platform", description = "URL of the platform", required = true)
  private String platformUrl;

  @Parameter(names = "--files", description = "folder of declaration files", required = true)
  private String folder;

  @Override
  public int run() throws Exception {
    Result<Long> result = DeclarationApplier.apply(platformUrl, Path.of(folder));
    return switch (result) {
      case Result.Ok<Long>(Long revision) -> {
        System.out.println("accepted revision=" + revision);
        yield ExitCodes.OK;
      }
      case Result.Failed<Long>(Failure failure) -> {
        System.err.println("not accepted: " + failure);
        yield failure.code().equals("conflict") ? ExitCodes.CONFLICT : ExitCodes.FAILED;
      }
    };
  }
}
