package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the operator's commands apply, diff and status against six instances, and checks that the
 * instances activate what was applied.
 */
final class ConfigurationTest {

  private static final int INSTANCE_COUNT = 6;
  private static final int CONFLICT_EXIT_CODE = 4;
  private static final int INVALID_FILE_EXIT_CODE = 3;

  private static ProcessCluster cluster;
  private static int revision;

  @TempDir private Path folder;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform();
    Map<String, String> entries = new TreeMap<>();
    IntStream.rangeClosed(1, INSTANCE_COUNT)
        .forEach(i -> entries.put(entryName(i), "abc".charAt(i % 3) + ""));
    cluster.startEntries(entries);
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  private static String entryName(int number) {
    return "entry-" + number;
  }

  private record CommandResult(int exitCode, String output) {}

  private static CommandResult runCommand(String... arguments) throws IOException {
    ManagedProcess process = ManagedProcess.start(arguments[0], List.of(arguments));
    int exitCode = process.awaitExit();
    // The last lines of output may be read only after the process has ended.
    Await.until("output of " + arguments[0], () -> !process.output().isEmpty());
    return new CommandResult(exitCode, String.join("\n", process.output()));
  }

  private static String platformUrl() {
    return "http://" + ProcessCluster.hostAndPort(cluster.directAddress(ProcessCluster.PLATFORM));
  }

  private Path writeFile(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  private static String declarationsWithWeight(int weight) {
    return "models: [{name: base}]\nadapters:\n"
        + "  - {name: letters, model: base, versions: [v1, v2], route: {v1: 1, v2: "
        + weight
        + "}}\n";
  }

  /**
   * Applies declarations and waits until all instances have activated them.
   *
   * @param weight weight of version v2; each call uses another one, so that the declarations change
   */
  private void applyEverywhere(int weight) throws IOException {
    Path file = writeFile("set-" + weight + ".yaml", declarationsWithWeight(weight));
    CommandResult result =
        runCommand("apply", "--platform", platformUrl(), "--files", file.toString());
    assertWithMessage(result.output()).that(result.exitCode()).isEqualTo(0);
    revision++;
    assertThat(result.output()).contains("accepted revision=" + revision);
    for (int i = 1; i <= INSTANCE_COUNT; i++) {
      cluster.awaitRevision(entryName(i), revision);
    }
  }

  private static String operatorAddress(String entry) {
    return cluster.process(entry).output().stream()
        .filter(line -> line.startsWith("ready "))
        .map(line -> line.replaceAll(".*operators=/?", ""))
        .findFirst()
        .orElseThrow();
  }

  // Guards against an apply that misses an instance, and a status that does not show this.
  @Test
  void applyReachesEveryInstanceAndStatusShowsIt() throws IOException {
    applyEverywhere(11);
    List<String> addresses = new ArrayList<>();
    IntStream.rangeClosed(1, INSTANCE_COUNT)
        .forEach(i -> addresses.add(operatorAddress(entryName(i))));
    CommandResult status = runCommand("status", "--operator", String.join(",", addresses));
    assertWithMessage(status.output()).that(status.exitCode()).isEqualTo(0);
    for (int i = 1; i <= INSTANCE_COUNT; i++) {
      assertThat(status.output())
          .containsMatch(
              "instance=" + entryName(i) + " .*ready=true .*revision=" + revision + " since=2");
    }
  }

  // Guards against an instance that cannot start, or serve, while the platform is down.
  @Test
  void replacedInstanceStartsFromPeersWhilePlatformIsDown() throws IOException {
    applyEverywhere(12);
    String replaced = entryName(2);
    cluster.process(replaced).kill();
    cluster.proxy(Link.toPlatform(replaced)).refuseConnections();
    try {
      cluster.restart(replaced);
      cluster.awaitRevision(replaced, revision);
      CommandResult status = runCommand("status", "--operator", operatorAddress(replaced));
      assertThat(status.output()).containsMatch("ready=true .*revision=" + revision + " ");
    } finally {
      cluster.proxy(Link.toPlatform(replaced)).acceptConnections();
    }
  }

  // Guards against concurrent changes of which both are accepted, and a conflict report without the
  // conflicting revision and fields.
  @Test
  void conflictingApplyReportsOtherRevisionAndFields() throws IOException {
    applyEverywhere(13);
    String base = Integer.toString(revision);
    applyEverywhere(14);
    Path file = writeFile("late.yaml", declarationsWithWeight(15));
    CommandResult conflicting =
        runCommand(
            "apply", "--platform", platformUrl(), "--files", file.toString(), "--base", base);
    assertWithMessage(conflicting.output())
        .that(conflicting.exitCode())
        .isEqualTo(CONFLICT_EXIT_CODE);
    assertThat(conflicting.output()).contains("conflict with revision " + revision);
    assertThat(conflicting.output()).contains("adapters.letters.route.v2");
    CommandResult diff =
        runCommand("diff", "--platform", platformUrl(), "--files", file.toString());
    assertThat(diff.output()).contains("~ adapters.letters.route.v2: 14 -> 15");
    assertThat(diff.output()).contains("revision=" + revision + " changes=1");
  }

  // Guards against declarations that are applied in part when only one of the files is invalid.
  @Test
  void invalidFileChangesNothing() throws IOException {
    applyEverywhere(16);
    writeFile("a.yaml", declarationsWithWeight(17));
    writeFile("b.yaml", "aliases:\n  - name: letters\n    adapter: lettres\n");
    Files.delete(folder.resolve("set-16.yaml"));
    CommandResult rejected =
        runCommand("apply", "--platform", platformUrl(), "--files", folder.toString());
    assertWithMessage(rejected.output())
        .that(rejected.exitCode())
        .isEqualTo(INVALID_FILE_EXIT_CODE);
    assertThat(rejected.output())
        .contains("b.yaml:2: aliases[0].name: alias hides the adapter letters");
    assertThat(rejected.output()).contains("b.yaml:3: aliases[0].adapter: unknown adapter lettres");
    Path valid = writeFile("c.yaml", declarationsWithWeight(16));
    CommandResult diff =
        runCommand("diff", "--platform", platformUrl(), "--files", valid.toString());
    assertThat(diff.output()).contains("revision=" + revision + " changes=0");
  }
}
