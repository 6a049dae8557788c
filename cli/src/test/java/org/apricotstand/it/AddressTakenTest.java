package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an entry process that keeps running without serving when its port is in use. */
final class AddressTakenTest {

  @Test
  void processEndsWithAnError(@TempDir Path folder) throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path settings =
          Files.writeString(
              folder.resolve("entry.yaml"),
              """
              instance: entry-1
              domain: a
              callerAddress: "127.0.0.1:%d"
              peerAddress: "127.0.0.1:0"
              operatorAddress: "127.0.0.1:0"
              platformUrl: "http://127.0.0.1:1"
              """
                  .formatted(listener.getLocalPort()));
      ManagedProcess process =
          ManagedProcess.start("entry-1", List.of("entry", "--settings", settings.toString()));
      try {
        assertThat(process.awaitExit()).isNotEqualTo(0);
      } finally {
        process.kill();
      }
    }
  }
}
