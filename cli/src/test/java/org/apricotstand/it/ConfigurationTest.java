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
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the path of a configuration from the operator's files to six instances. */
final class ConfigurationTest {

  private static final int INSTANCES = 6;
  private static final int CONFLICT = 4;
  private static final int INVALID_FILE = 3;

  private static ProcessCluster cluster;
  private static int revision;

  @TempDir private Path folder;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform();
    Map<String, String> entries = new TreeMap<>();
    IntStream.rangeClosed(1, INSTANCES)
        .forEach(i -> entries.put(entry(i), "abc".charAt(i % 3) + ""));
    cluster.startEntries(entries);
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  private static String entry(int number) {
    return "entry-" + number;
  }

  private record Finished(int exitCode, String output) {}

  private static Finished run(String... line) throws IOException {
    ManagedProcess process = ManagedProcess.start(line[0], List.of(line));
    int exitCode = process.awaitExit();
    // The reader of the output may be a moment behind the end of the process.
    Await.until("output of " + line[0], () -> !process.output().isEmpty());
    return new Finished(exitCode, String.join("\n", process.output()));
  }

  private static String platform() {
    return "http://" + ProcessCluster.text(cluster.directAddress(ProcessCluster.PLATFORM));
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  private static String adapters(int weight) {
    return "models: [{name: base}]\nadapters:\n"
        + "  - {name: letters, model: base, versions: [v1, v2], route: {v1: 1, v2: "
        + weight
        + "}}\n";
  }

  /** Applies a set with a weight that no other test uses, and waits for it at all instances. */
  private void applyEverywhere(int weight) throws IOException {
    Path file = write("set-" + weight + ".yaml", adapters(weight));
    Finished finished = run("apply", "--platform", platform(), "--files", file.toString());
    assertWithMessage(finished.output()).that(finished.exitCode()).isEqualTo(0);
    revision++;
    assertThat(finished.output()).contains("accepted revision=" + revision);
    for (int i = 1; i <= INSTANCES; i++) {
      cluster.awaitRevision(entry(i), revision);
    }
  }

  private static String operatorAddress(String entry) {
    return cluster.process(entry).output().stream()
        .filter(line -> line.startsWith("ready "))
        .map(line -> line.replaceAll(".*operators=/?", ""))
        .findFirst()
        .orElseThrow();
  }

  // Guards against an instance that an apply does not reach, and a status that hides it.
  @Test
  void applyReachesEveryInstanceAndStatusShowsIt() throws IOException {
    applyEverywhere(11);
    List<String> addresses = new ArrayList<>();
    IntStream.rangeClosed(1, INSTANCES).forEach(i -> addresses.add(operatorAddress(entry(i))));
    Finished status = run("status", "--operator", String.join(",", addresses));
    assertWithMessage(status.output()).that(status.exitCode()).isEqualTo(0);
    for (int i = 1; i <= INSTANCES; i++) {
      assertThat(status.output())
          .containsMatch(
              "instance=" + entry(i) + " .*ready=true .*revision=" + revision + " since=2");
    }
  }

  // Guards against an instance that cannot start, or serve, while the platform is down.
  @Test
  void replacedInstanceStartsFromPeersWhilePlatformIsDown() throws IOException {
    applyEverywhere(12);
    String replaced = entry(2);
    cluster.process(replaced).kill();
    cluster.proxy(Link.toPlatform(replaced)).refuseConnections();
    try {
      cluster.restart(replaced);
      cluster.awaitRevision(replaced, revision);
      Finished status = run("status", "--operator", operatorAddress(replaced));
      assertThat(status.output()).containsMatch("ready=true .*revision=" + revision + " ");
    } finally {
      cluster.proxy(Link.toPlatform(replaced)).acceptConnections();
    }
  }

  // Guards against two operators that both believe to have won, or a loser that is not told which
  // change and fields stand against its own.
  @Test
  void secondOfTwoOperatorsIsToldTheOtherRevisionAndTheFields() throws IOException {
    applyEverywhere(13);
    String base = Integer.toString(revision);
    applyEverywhere(14);
    Path file = write("late.yaml", adapters(15));
    Finished late =
        run("apply", "--platform", platform(), "--files", file.toString(), "--base", base);
    assertWithMessage(late.output()).that(late.exitCode()).isEqualTo(CONFLICT);
    assertThat(late.output()).contains("conflict with revision " + revision);
    assertThat(late.output()).contains("adapters.letters.route.v2");
    Finished diff = run("diff", "--platform", platform(), "--files", file.toString());
    assertThat(diff.output()).contains("~ adapters.letters.route.v2: 14 -> 15");
    assertThat(diff.output()).contains("revision=" + revision + " changes=1");
  }

  // Guards against a set that is applied in part because only one of its files is bad.
  @Test
  void badFileChangesNothing() throws IOException {
    applyEverywhere(16);
    write("a.yaml", adapters(17));
    write("b.yaml", "aliases:\n  - name: letters\n    adapter: lettres\n");
    Files.delete(folder.resolve("set-16.yaml"));
    Finished bad = run("apply", "--platform", platform(), "--files", folder.toString());
    assertWithMessage(bad.output()).that(bad.exitCode()).isEqualTo(INVALID_FILE);
    assertThat(bad.output()).contains("b.yaml:2: aliases[0].name: alias hides the adapter letters");
    assertThat(bad.output()).contains("b.yaml:3: aliases[0].adapter: unknown adapter lettres");
    Path good = write("c.yaml", adapters(16));
    Finished diff = run("diff", "--platform", platform(), "--files", good.toString());
    assertThat(diff.output()).contains("revision=" + revision + " changes=0");
  }
}
