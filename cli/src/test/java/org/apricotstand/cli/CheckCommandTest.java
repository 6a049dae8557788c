package org.apricotstand.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apricotstand.standin.platform.PlatformSettings;
import org.apricotstand.standin.platform.StandInPlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CheckCommandTest {

  private static final Path ROOT = Path.of(System.getProperty("user.dir")).getParent();

  private record Run(int exitCode, String output, String errorOutput) {

    JsonNode json() throws IOException {
      return new ObjectMapper().readTree(output);
    }
  }

  private static Run run(String... args) {
    PrintStream standardOutput = System.out;
    PrintStream standardError = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(errorOutput, true, StandardCharsets.UTF_8));
    try {
      int exitCode = Main.runToExitCode(args);
      return new Run(
          exitCode,
          output.toString(StandardCharsets.UTF_8),
          errorOutput.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(standardOutput);
      System.setErr(standardError);
    }
  }

  private static String files(String name) {
    return Path.of("src/test/resources/check", name).toString();
  }

  private static List<String> texts(JsonNode items, String field) {
    List<String> texts = new ArrayList<>();
    items.forEach(item -> texts.add(item.path(field).asText()));
    return texts;
  }

  // Guards against a rule that is no longer checked, reports another line or field, or does not
  // name the declaration and its value. No set has a finding of another rule.
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "invalid-field                  | error   | 4 | adapters[0].model | unknown model basis",
        "empty-set                      | error   | 1 | (file) | got none",
        "empty-file                     | error   | 1 | (file) | empty file",
        "model-without-adapter          | warning | 2 | models[0].name | \"base\"",
        "model-without-engine           | warning | 2 | models[0].name | \"base\"",
        "service-without-target         | warning | 2 | services[0].name | \"orders\"",
        "path-never-matches             | warning | 3 | services[0].path | \"/new orders\"",
        "route-behind-shift             | warning | 6 | adapters[0].route | \"letters\"",
        "adapter-limit-over-class-limit | warning | 4 | adapters[1].maxInFlight | 21 of adapter \"notes\"",
        "caller-limit-over-class-limits | warning | 8 | policy.maxInProgressPerCaller | 61",
        "timeout-under-load-interval    | warning | 8 | policy.requestTimeoutMs | 1999",
        "leaving-time-under-list-age    | warning | 7 | policy.leavingTimeMs | 1999",
        "pinned-versions-over-slots     | warning | 2 | models[0].name | 2 pinned adapter versions and 2 slots",
        "replicas-over-slots            | warning | 2 | models[0].name | 4 replicas together and 2 slots",
      })
  void eachRuleHasItsFinding(
      String rule, String severity, int line, String field, String messagePart) throws IOException {
    Run run = run("check", "--files", files(rule), "--output", "json");
    JsonNode report = run.json();
    assertWithMessage(run.output()).that(report.path("findings")).hasSize(1);
    JsonNode finding = report.path("findings").path(0);
    assertThat(finding.path("rule").asText())
        .isEqualTo(rule.equals("empty-file") ? "invalid-field" : rule);
    assertThat(finding.path("severity").asText()).isEqualTo(severity);
    assertThat(finding.path("file").asText()).isEqualTo(files(rule) + "/declarations.yaml");
    assertThat(finding.path("line").asInt()).isEqualTo(line);
    assertThat(finding.path("field").asText()).isEqualTo(field);
    assertThat(finding.path("message").asText()).contains(messagePart);
    assertThat(report.path("result").asText()).isEqualTo(severity);
    assertThat(run.exitCode())
        .isEqualTo(severity.equals("error") ? ExitCodes.INVALID_FILE : ExitCodes.WARNINGS);
  }

  // Guards against a shift that moves nothing, by its percentage or by the route, and passes.
  @Test
  void bothKindsOfShiftWithoutEffectAreFound() throws IOException {
    JsonNode findings =
        run("check", files("shift-without-effect"), "--output", "json").json().path("findings");
    assertThat(texts(findings, "rule"))
        .containsExactly("shift-without-effect", "shift-without-effect");
    assertThat(texts(findings, "field"))
        .containsExactly("adapters[0].shift.percent", "adapters[1].shift.to")
        .inOrder();
  }

  // Guards against warnings about sets that are in order, which would hide those that matter.
  @ParameterizedTest
  @ValueSource(strings = {"first", "steppe-haze", "lakeshore"})
  void examplesAreClean(String example) {
    Run run = run("check", "--files", ROOT.resolve("examples").resolve(example).toString());
    assertWithMessage(run.errorOutput()).that(run.exitCode()).isEqualTo(ExitCodes.OK);
    assertThat(run.errorOutput()).isEmpty();
    assertThat(run.output()).startsWith("valid: ");
  }

  // Guards against rules that also report a value at their limit.
  @Test
  void setAtTheLimitOfEachRuleIsClean() throws IOException {
    Run run = run("check", "--files", files("clean"), "--output", "json");
    assertWithMessage(run.output()).that(run.exitCode()).isEqualTo(ExitCodes.OK);
    assertThat(run.json().path("result").asText()).isEqualTo("clean");
    assertThat(run.json().path("findings")).isEmpty();
    assertThat(run.json().has("changes")).isFalse();
  }

  // Guards against a text report that changes the documented form of errors, or looks like an
  // error for a warning.
  @Test
  void textReportsErrorsAndWarnings() {
    Run error = run("check", "--files", files("invalid-field"));
    assertThat(error.exitCode()).isEqualTo(ExitCodes.INVALID_FILE);
    assertThat(error.errorOutput())
        .isEqualTo(
            files("invalid-field")
                + "/declarations.yaml:4: adapters[0].model: unknown model basis\n");
    assertThat(error.output()).isEmpty();
    Run warning = run("check", "--files", files("model-without-adapter"));
    assertThat(warning.exitCode()).isEqualTo(ExitCodes.WARNINGS);
    assertThat(warning.errorOutput()).contains(":2: models[0].name: warning: model \"base\"");
    assertThat(warning.output()).startsWith("valid: models=1 ");
  }

  // Guards against a change whose requests are not named, and against requests that are named
  // although nothing changes for them.
  @Test
  void comparisonNamesTheAffectedRequests() throws IOException {
    Run run = run("check", files("changed"), "--against", files("clean"), "--output", "json");
    assertWithMessage(run.output()).that(run.exitCode()).isEqualTo(ExitCodes.OK);
    JsonNode effects = run.json().path("affectedRequests");
    List<String> lines = new ArrayList<>();
    effects.forEach(
        effect ->
            lines.add(
                effect.path("requests").asText()
                    + ": "
                    + effect.path("before").asText()
                    + " -> "
                    + effect.path("after").asText()));
    assertThat(lines)
        .containsExactly(
            "path /orders: service \"orders\", at most once by header x-order-id"
                + " -> service \"orders\", at most once by body /order/id",
            "path /orders/bulk: service \"bulk\", repeatable"
                + " -> service \"orders\", at most once by body /order/id",
            "model notes: adapter \"notes\" of model \"base\" -> unknown_model",
            "model letters@v2: declared -> unknown_model",
            "model letters@v3: unknown_model -> declared",
            "model letters without a version: v1 85.50%, v2 14.50% -> v1 90.00%, v3 10.00%",
            "model post@v2: declared -> unknown_model",
            "model post@v3: unknown_model -> declared",
            "model post without a version: v1 85.50%, v2 14.50% -> v1 90.00%, v3 10.00%",
            "service bulk: 1 target(s) -> 0 target(s)",
            "service orders: 1 target(s) -> 2 target(s)",
            "all requests: time-out 2000 ms -> time-out 4000 ms")
        .inOrder();
    assertThat(texts(run.json().path("changes"), "field"))
        .containsAtLeast("adapters.letters.versions", "targets.engine-1.slots");
    Run text = run("check", files("changed"), "--against", files("clean"));
    assertThat(text.output()).contains("  ~ targets.engine-1.slots: 2 -> 3\n");
    assertThat(text.output()).contains("  path /orders/bulk: service \"bulk\"");
    Run same = run("check", files("clean"), "--against", files("clean"));
    assertThat(same.output()).contains(": 0\naffected requests: 0\n");
  }

  // Guards against a base with errors that is taken for an empty one.
  @Test
  void baseWithErrorsIsAnError() {
    Run run = run("check", files("clean"), "--against", files("invalid-field"));
    assertThat(run.exitCode()).isEqualTo(ExitCodes.INVALID_FILE);
    assertThat(run.errorOutput()).contains("unknown model basis");
  }

  @Test
  void contradictingOptionsAreRejected() {
    String clean = files("clean");
    assertThat(run("check", clean, "--output", "xml").exitCode()).isEqualTo(ExitCodes.USAGE);
    assertThat(
            run("check", clean, "--against", clean, "--platform", "http://127.0.0.1:9").exitCode())
        .isEqualTo(ExitCodes.USAGE);
    assertThat(run("check", "--settings", "entry.yaml", "--against", clean).exitCode())
        .isEqualTo(ExitCodes.USAGE);
  }

  // Guards against a check that changes the platform, against apply that accepts errors or refuses
  // warnings, and against an unreachable platform that passes as one without a difference.
  @Test
  void comparesWithThePlatformAndChangesNothing() throws IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    String url;
    try (StandInPlatform platform =
        StandInPlatform.start(group, new PlatformSettings("127.0.0.1:0", 4, 1, 8, 250))) {
      url = platform.url();
      Run first = run("check", files("clean"), "--platform", url, "--output", "json");
      assertWithMessage(first.output()).that(first.exitCode()).isEqualTo(ExitCodes.OK);
      assertThat(first.json().path("against").asText()).isEqualTo("revision 0");

      Run empty = run("apply", files("empty-set"), "--platform", url);
      assertThat(empty.exitCode()).isEqualTo(ExitCodes.INVALID_FILE);
      Run applied = run("apply", files("model-without-adapter"), "--platform", url);
      assertThat(applied.output()).isEqualTo("accepted revision=1\n");
      assertThat(applied.errorOutput()).contains("warning: model \"base\"");
      assertThat(applied.exitCode()).isEqualTo(ExitCodes.OK);

      for (int i = 0; i < 2; i++) {
        Run second = run("check", files("clean"), "--platform", url, "--output", "json");
        assertThat(second.json().path("against").asText()).isEqualTo("revision 1");
        assertThat(second.json().path("changes")).isNotEmpty();
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    Run unreachable = run("check", files("clean"), "--platform", url, "--output", "json");
    assertThat(unreachable.exitCode()).isEqualTo(ExitCodes.FAILED);
    assertThat(unreachable.json().path("result").asText()).isEqualTo("failed");
    assertThat(unreachable.json().path("failure").asText()).isNotEmpty();
  }
}
