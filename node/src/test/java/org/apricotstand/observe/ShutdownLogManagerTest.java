package org.apricotstand.observe;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class ShutdownLogManagerTest {

  // Guards against log handlers that are removed before the shutdown hooks have run: nothing of a
  // drain would be logged.
  @Test
  void logsUntilTheProcessEnds() throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                DrainingProcess.class.getName())
            .redirectErrorStream(true)
            .start();
    String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    process.waitFor();
    assertThat(log).contains("event=started");
    assertThat(log).contains("event=stopped");
  }
}
