package org.apricotstand.cli;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class FilesOptionTest {

  private static final String FIRST =
      Path.of(System.getProperty("user.dir")).getParent().resolve("examples/first").toString();

  // Guards against a check that rejects the file a user names without an option.
  @Test
  void takesAFolderAsArgumentOrOption() {
    assertThat(Main.runToExitCode(new String[] {"check", FIRST})).isEqualTo(ExitCodes.OK);
    assertThat(Main.runToExitCode(new String[] {"check", "--files", FIRST}))
        .isEqualTo(ExitCodes.OK);
  }

  @Test
  void rejectsNoneOrSeveral() {
    assertThat(Main.runToExitCode(new String[] {"check"})).isEqualTo(ExitCodes.USAGE);
    assertThat(Main.runToExitCode(new String[] {"check", FIRST, FIRST})).isEqualTo(ExitCodes.USAGE);
    assertThat(Main.runToExitCode(new String[] {"diff", "--platform", "http://127.0.0.1:9"}))
        .isEqualTo(ExitCodes.USAGE);
  }
}
