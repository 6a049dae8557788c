package org.apricotstand.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an entry instance that stays up with dead threads after an OutOfMemoryError: the
 * platform restarts a process only when it has ended.
 */
final class LaunchScriptTest {

  private static final String EXIT_OPTION = "-XX:+ExitOnOutOfMemoryError";
  private static final Path SCRIPT = Path.of("..", "bin", "apricotstand");

  @TempDir private Path folder;

  @Test
  void entryEndsOnOutOfMemoryWithTheScriptsSizes() throws Exception {
    assertThat(javaArguments("entry", "")).contains(EXIT_OPTION);
  }

  @Test
  void entryEndsOnOutOfMemoryWithOtherSizes() throws Exception {
    assertThat(javaArguments("entry", "-Xmx80m")).containsAtLeast(EXIT_OPTION, "-Xmx80m").inOrder();
  }

  /** Runs a copy of the script with a java that prints its arguments. */
  private List<String> javaArguments(String command, String jvmOptions)
      throws IOException, InterruptedException {
    Path bin = Files.createDirectories(folder.resolve("bin"));
    Path script = Files.copy(SCRIPT, bin.resolve("apricotstand"));
    writeScript(bin.resolve("find-jdk"), "echo " + folder);
    writeScript(bin.resolve("java"), "printf '%s\\n' \"$@\"");
    Files.createDirectories(folder.resolve("cli/target"));
    Files.createFile(folder.resolve("cli/target/built"));
    ProcessBuilder builder =
        new ProcessBuilder("bash", script.toString(), command).redirectErrorStream(true);
    builder.environment().put("APRICOTSTAND_JVM_OPTS", jvmOptions);
    Process process = builder.start();
    List<String> lines = process.inputReader().lines().toList();
    assertThat(process.waitFor(1, TimeUnit.MINUTES)).isTrue();
    return lines;
  }

  private static void writeScript(Path file, String line) throws IOException {
    Files.writeString(file, "#!/usr/bin/env bash\n" + line + "\n");
    assertThat(file.toFile().setExecutable(true)).isTrue();
  }
}
