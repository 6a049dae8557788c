package org.apricotstand.bench;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ProgressReporterTest {

  // Guards against a long experiment that prints no progress.
  @Test
  void reportsPolicyAndRemainingTime() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    ProgressReporter progress = new ProgressReporter(out, List.of("a", "b", "c"), 20_000);
    progress.reportPolicyStart("b");
    assertThat(bytes.toString(StandardCharsets.UTF_8))
        .isEqualTo("policy b (2 of 3), at least 40 s to go" + System.lineSeparator());
  }
}
