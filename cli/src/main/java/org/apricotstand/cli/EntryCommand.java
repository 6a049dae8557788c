package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.apricotstand.Apricotstand;
import org.apricotstand.entry.EntryInstance;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.ValidationResult;

/** Runs an entry instance until an operator drains it or the process is terminated. */
@Parameters(commandDescription = "runs an entry instance")
final class EntryCommand implements Command {

  @Parameter(names = "--settings", description = "settings file", required = true)
  private String settingsFile;

  @Override
  public int run() throws InterruptedException {
    return switch (Apricotstand.readSettings(Path.of(settingsFile))) {
      case ValidationResult.Valid<InstanceSettings>(InstanceSettings settings) -> serve(settings);
      case ValidationResult.Invalid<InstanceSettings> invalid -> {
        System.err.println(invalid.report());
        yield ExitCodes.INVALID_FILE;
      }
    };
  }

  private static int serve(InstanceSettings settings) throws InterruptedException {
    EntryInstance instance = Apricotstand.start(settings);
    System.out.println(
        "ready callers=" + instance.callerAddress() + " operators=" + instance.operatorAddress());
    Runtime.getRuntime().addShutdownHook(new Thread(instance::close, "shutdown"));
    instance.awaitDrainRequest();
    return ExitCodes.OK;
  }
}
