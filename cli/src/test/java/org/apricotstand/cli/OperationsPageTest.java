package org.apricotstand.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against an operations page that does not explain a log event, command or exit code, or
 * that has alerts on metrics that do not exist.
 */
class OperationsPageTest {

  private static final Path ROOT = Path.of("..");
  private static final Pattern COMMENT = Pattern.compile("/\\*.*?\\*/|//[^\\n]*", Pattern.DOTALL);
  private static final Pattern EVENT =
      Pattern.compile("LOG\\s*\\.(?:info|warn|debug)\\(\\s*\"([a-z0-9_]+)\"");
  private static final Pattern METRIC = Pattern.compile("\"([a-z0-9_]+(?:\\.[a-z0-9_]+)+)\"");
  private static final Pattern ALERT =
      Pattern.compile("^\\|[^|]*\\| `([a-z0-9_.]+)` \\|", Pattern.MULTILINE);
  private static final Pattern CODE = Pattern.compile("`([a-z0-9_]+)`");

  private static String page() throws IOException {
    return Files.readString(ROOT.resolve("docs/operations.md"));
  }

  private static String section(String title) throws IOException {
    String page = page();
    int start = page.indexOf("## " + title + "\n");
    assertThat(start).isAtLeast(0);
    int end = page.indexOf("\n## ", start);
    return end < 0 ? page.substring(start) : page.substring(start, end);
  }

  private static String sources() throws IOException {
    StringBuilder all = new StringBuilder();
    for (String module : List.of("core", "node", "cli")) {
      try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
        files
            .filter(file -> file.toString().endsWith(".java"))
            .map(OperationsPageTest::read)
            .forEach(all::append);
      }
    }
    return COMMENT.matcher(all).replaceAll("");
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Set<String> findAll(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher
        .results()
        .map(found -> found.group(1))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  @Test
  void everyLogEventHasAnEntry() throws IOException {
    Set<String> events = findAll(EVENT, sources());
    assertThat(events).contains("revision_in_force");
    assertThat(findAll(CODE, section("Log events"))).containsAtLeastElementsIn(events);
  }

  @Test
  void everyAlertNamesAnExistingMetric() throws IOException {
    Set<String> alerts = findAll(ALERT, section("Alerts"));
    assertThat(alerts).contains("configuration.revision");
    assertThat(findAll(METRIC, sources())).containsAtLeastElementsIn(alerts);
  }

  @Test
  void everyCommandAndExitCodeHasAnEntry() throws IOException {
    String commands = section("Commands");
    for (String command : findAll(Pattern.compile("commands\\.put\\(\"([a-z-]+)\""), sources())) {
      assertThat(commands).contains("`" + command + "`");
    }
    for (String code : findAll(Pattern.compile("(?m)^ +([0-9])  "), ExitCodes.HELP)) {
      assertThat(commands).contains("| " + code + " |");
    }
  }
}
