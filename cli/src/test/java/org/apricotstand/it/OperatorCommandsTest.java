package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Runs the commands that use the operator interface against real instances. */
final class OperatorCommandsTest {

  private static ProcessCluster cluster;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform();
    cluster.startEngine("engine-1", "a", 2, 8);
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "b"));
    cluster.apply(
        """
        models: [{name: base}]
        adapters:
          - {name: letters, model: base, versions: [v1, v2], route: {v2: 1}}
        aliases: [{name: post, adapter: letters}]
        """);
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  private static String operatorAddress(String entry) {
    return cluster.process(entry).output().stream()
        .filter(line -> line.startsWith("ready "))
        .map(line -> line.replaceAll(".*operators=/?", ""))
        .findFirst()
        .orElseThrow();
  }

  private static String runCommand(int expectedExitCode, String... arguments) throws IOException {
    ManagedProcess process = ManagedProcess.start(arguments[0], List.of(arguments));
    int actualExitCode = process.awaitExit();
    Await.until("output of " + arguments[0], () -> !process.output().isEmpty());
    String output = String.join("\n", process.output());
    assertWithMessage(output).that(actualExitCode).isEqualTo(expectedExitCode);
    return output;
  }

  // Guards against an explanation without the owner, or with another adapter version.
  @Test
  void explainNamesVersionCandidateAndOwner() throws IOException {
    Await.until(
        "entry-1 owns engine-1",
        () ->
            cluster.process("entry-1").output().stream()
                .anyMatch(line -> line.contains("event=ownership_gained")));
    String output =
        runCommand(0, "explain", "--operator", operatorAddress("entry-1"), "--model", "post");
    assertThat(output).contains("adapter_version=letters@v2 revision=1");
    assertThat(output)
        .containsMatch("rank=1 target=engine-1 domain=a owner=entry-1 residency=(absent|resident)");
    assertThat(
            runCommand(
                1, "explain", "--operator", operatorAddress("entry-1"), "--model", "lettres"))
        .contains("unknown_model");
  }

  // Guards against a status that omits an instance which does not answer.
  @Test
  void statusReportsAnUnreachableInstance() throws IOException {
    String output =
        runCommand(1, "status", "--operator", "127.0.0.1:1," + operatorAddress("entry-1"));
    assertThat(output).contains("address=127.0.0.1:1 unreachable");
    assertThat(output).contains("instance=entry-1 ");
  }

  // Guards against an instance that keeps running after it was drained.
  @Test
  void drainEndsTheProcess() throws IOException {
    runCommand(0, "drain", "--operator", operatorAddress("entry-2"));
    assertThat(cluster.process("entry-2").awaitExit()).isEqualTo(0);
  }

  @Test
  void everyCommandHasHelpWithExitCodes() throws IOException {
    for (String command : List.of("check", "apply", "diff", "status", "explain", "drain")) {
      String output = runCommand(0, command, "--help");
      assertThat(output).contains("Usage: " + command);
      assertThat(output).contains("4  conflict");
    }
  }
}
