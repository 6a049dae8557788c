package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.apricotstand.Apricotstand;
import org.apricotstand.entry.EntryInstance;
import org.apricotstand.settings.Checked;
import org.apricotstand.settings.InstanceSettings;

/** Runs an entry instance until the process is asked to stop. */
@Parameters(commandDescription = "runs an entry instance")
final class EntryCommand implements Command {

  @Parameter(names = "--settings", description = "settings file", required = true)
  private String settingsFile;

  @Override
  public int run() throws InterruptedException {
    return switch (Apricotstand.readSettings(Path.of(settingsFile))) {
      case Checked.Valid<InstanceSettings>(InstanceSettings settings) -> serve(settings);
      case Checked.Faulty<InstanceSettings> faulty -> {
        System.err.println(faulty.report());
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
