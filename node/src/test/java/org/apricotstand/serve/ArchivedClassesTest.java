package org.apricotstand.serve;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ArchivedClassesTest {

  @TempDir private Path folder;

  // Guards against a build that fails because a listed class was renamed.
  @Test
  void skipsClassesThatDoNotExist() throws IOException {
    Path names = folder.resolve("classes.txt");
    Files.writeString(names, "java.util.ArrayList\norg.apricotstand.Renamed\n");
    assertThat(ArchivedClasses.load(names)).isEqualTo(1);
  }
}
