package org.apricotstand.bench;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ProgressTest {

  // Guards against a long run that says nothing.
  @Test
  void namesThePolicyAndTheTimeToGo() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    Progress progress = new Progress(out, List.of("a", "b", "c"), 20_000);
    progress.started("b");
    assertThat(bytes.toString(StandardCharsets.UTF_8))
        .isEqualTo("policy b (2 of 3), at least 40 s to go" + System.lineSeparator());
  }
}
