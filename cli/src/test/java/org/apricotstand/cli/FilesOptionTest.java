package org.apricotstand.cli;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class FilesOptionTest {

  private static final String EXAMPLE_FOLDER =
      Path.of(System.getProperty("user.dir")).getParent().resolve("examples/first").toString();

  // Guards against a command that rejects a path given without --files.
  @Test
  void acceptsFolderAsArgumentOrOption() {
    assertThat(Main.runToExitCode(new String[] {"check", EXAMPLE_FOLDER})).isEqualTo(ExitCodes.OK);
    assertThat(Main.runToExitCode(new String[] {"check", "--files", EXAMPLE_FOLDER}))
        .isEqualTo(ExitCodes.OK);
  }

  // Guards against a command that runs on no declarations, or ignores all paths but one.
  @Test
  void rejectsMissingOrSeveralPaths() {
    assertThat(Main.runToExitCode(new String[] {"check"})).isEqualTo(ExitCodes.USAGE);
    assertThat(Main.runToExitCode(new String[] {"check", EXAMPLE_FOLDER, EXAMPLE_FOLDER}))
        .isEqualTo(ExitCodes.USAGE);
    assertThat(Main.runToExitCode(new String[] {"diff", "--platform", "http://127.0.0.1:9"}))
        .isEqualTo(ExitCodes.USAGE);
  }
}
