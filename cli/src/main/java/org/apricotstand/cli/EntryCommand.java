package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apricotstand.entry.EntryInstance;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.YamlFiles;

/** Runs an entry instance until the process is asked to stop. */
@Parameters(commandDescription = "runs an entry instance")
final class EntryCommand implements Command {

  @Parameter(names = "--settings", description = "settings file", required = true)
  private String settingsFile;

  @Override
  public int run() throws InterruptedException {
    return switch (YamlFiles.read(Path.of(settingsFile), InstanceSettings.class)) {
      case Result.Ok<InstanceSettings>(InstanceSettings settings) -> serve(settings);
      case Result.Failed<InstanceSettings>(Failure failure) -> {
        System.err.println(failure);
        yield ExitCodes.INVALID_FILE;
      }
    };
  }

  private static int serve(InstanceSettings settings) throws InterruptedException {
    EntryInstance instance = EntryInstance.start(settings);
    System.out.println("ready callers=" + instance.callerAddress());
    Runtime.getRuntime().addShutdownHook(new Thread(instance::close, "shutdown"));
    new CountDownLatch(1).await();
    return ExitCodes.OK;
  }
}
