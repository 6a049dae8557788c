package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Step;
import org.junit.jupiter.api.Test;

/**
 * Guards against a page of outcomes that lacks a failure code of the sources, or that documents
 * another status or step than callers get.
 */
class OutcomesPageTest {

  private static final Path ROOT = Path.of("..");

  /** Packages that handle requests, whose failure codes reach callers. */
  private static final List<String> SOURCES =
      List.of(
          "core/src/main/java/org/apricotstand/schedule",
          "core/src/main/java/org/apricotstand/claim",
          "core/src/main/java/org/apricotstand/suspect",
          "core/src/main/java/org/apricotstand/limit",
          "node/src/main/java/org/apricotstand/entry",
          "node/src/main/java/org/apricotstand/owner",
          "node/src/main/java/org/apricotstand/engine",
          "node/src/main/java/org/apricotstand/suspects",
          "node/src/main/java/org/apricotstand/claims",
          "node/src/main/java/org/apricotstand/http");

  /** Literals that look like codes: an outcome, fields of messages and a code of an engine. */
  private static final Set<String> EXCLUDED_LITERALS =
      Set.of("not_run", "lora_name", "request_id", "from_token", "adapter_not_loaded");

  /** Codes of one word, which the pattern cannot distinguish from other literals. */
  private static final Set<String> ONE_WORD_CODES = Set.of("refused", "timeout");

  private static final Pattern COMMENT = Pattern.compile("/\\*.*?\\*/|//[^\\n]*", Pattern.DOTALL);
  private static final Pattern LOG_EVENT = Pattern.compile("LOG\\s*\\.\\s*\\w+\\(\\s*\"[^\"]*\"");
  private static final Pattern CODE = Pattern.compile("\"([a-z]+(?:_[a-z]+)*_?)\"");
  private static final Pattern ROW =
      Pattern.compile(
          "\\| [^|]+ \\| (not_run|unknown) \\| (\\d+) \\| `([A-Za-z_]+)` \\| ([a-z]*) ?\\|");

  private static final Pattern LOG_ROW = Pattern.compile("\\| `([a-z_]+)` \\| [^|]+ \\|");

  private record Row(String outcome, int status, String code, String step) {}

  @Test
  void pageAndSourcesHaveTheSameCodes() {
    Set<String> onPage = new TreeSet<>();
    rows().forEach(row -> onPage.add(row.code().replace("STATUS", "")));
    read(ROOT.resolve("docs/outcomes.md"))
        .lines()
        .map(LOG_ROW::matcher)
        .filter(Matcher::matches)
        .forEach(row -> onPage.add(row.group(1)));
    assertThat(onPage).isEqualTo(codesInSources());
  }

  @Test
  void pageHasTheStatusesThatCallersGet() {
    for (Row row : rows()) {
      if (row.step().isEmpty() || row.step().equals("admission")) {
        assertThat(row.outcome()).isEqualTo("not_run");
        continue;
      }
      Step step = Step.valueOf(row.step().toUpperCase(java.util.Locale.ROOT));
      Failure failure = new Failure(step, "peer", row.code(), "detail");
      RecordingExchange exchange = new RecordingExchange();
      ErrorAnswer.send(
          exchange,
          row.outcome().equals("not_run")
              ? new Outcome.NotRun(failure)
              : new Outcome.OutcomeUnknown(failure));
      assertWithMessage(row.code()).that(exchange.status).isEqualTo(row.status());
      assertWithMessage(row.code())
          .that(exchange.headers.get(ErrorAnswer.OUTCOME_HEADER))
          .isEqualTo(row.outcome());
      assertThat(exchange.body).contains("\"step\":\"" + row.step() + "\"");
    }
  }

  private static List<Row> rows() {
    List<Row> rows =
        read(ROOT.resolve("docs/outcomes.md"))
            .lines()
            .map(ROW::matcher)
            .filter(Matcher::matches)
            .map(
                line ->
                    new Row(
                        line.group(1),
                        Integer.parseInt(line.group(2)),
                        line.group(3),
                        line.group(4)))
            .toList();
    assertThat(rows.size()).isAtLeast(40);
    return rows;
  }

  private static Set<String> codesInSources() {
    Set<String> codes = new TreeSet<>();
    for (String folder : SOURCES) {
      for (Path file : files(ROOT.resolve(folder))) {
        String text = read(file);
        if (Stream.of("Failure", "Code", "notRun(").noneMatch(text::contains)) {
          continue;
        }
        String plain = LOG_EVENT.matcher(COMMENT.matcher(text).replaceAll("")).replaceAll("LOG");
        CODE.matcher(plain)
            .results()
            .map(match -> match.group(1))
            .filter(code -> code.contains("_") || ONE_WORD_CODES.contains(code))
            .filter(code -> !EXCLUDED_LITERALS.contains(code))
            .forEach(codes::add);
      }
    }
    return codes;
  }

  private static List<Path> files(Path folder) {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".java")).collect(Collectors.toList());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Guards against a comparison that misses codes in the sources or takes log events for codes. */
  @Test
  void patternFindsCodesAndIgnoresLogEvents() {
    String source = "new Failure(Step.CLAIM, peer, \"some_code\", detail); LOG.warn(\"an_event\");";
    String plain = LOG_EVENT.matcher(source).replaceAll("LOG");
    assertThat(CODE.matcher(plain).results().map(match -> match.group(1)).toList())
        .isEqualTo(Arrays.asList("some_code"));
  }
}
