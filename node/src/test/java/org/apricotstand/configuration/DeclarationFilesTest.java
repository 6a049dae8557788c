package org.apricotstand.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.ValidationError;
import org.apricotstand.settings.ValidationResult;
import org.apricotstand.settings.YamlDocument;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DeclarationFilesTest {

  /** A valid set, of which the tests replace one line at a time. */
  private static final String VALID =
      """
      models:
        - name: base
      adapters:
        - name: letters
          model: base
          versions:
            - v1
            - v2
          route:
            v1: 90
            v2: 10
          requestClass: standard
          replicas: 1
          pinned: false
          shift: {to: v2, percent: 5}
          stallWeight: 0.5
          maxInFlight: 8
        - {name: notes, model: base, versions: [v1]}
      aliases:
        - {name: post, adapter: letters}
      services:
        - {name: orders, path: /orders, identityHeader: x-order}
        - {name: bills, path: /bills, identityPointer: /bill/id}
        - {name: stock, path: /stock, repeatable: true}
      targets:
        - {name: e1, kind: engine, serves: base, domain: a, address: "10.0.0.1:80", fencing: enforced, slots: 2, maxBatch: 8}
        - {name: s1, kind: service, serves: stock, domain: a, address: "10.0.0.2:80", fencing: ignored}
      policy:
        stallWeight: 0.5
        leavingTimeMs: 3000
      """;

  private static List<ValidationError> errorsOf(String... texts) {
    List<YamlDocument> documents =
        java.util.stream.IntStream.range(0, texts.length)
            .mapToObj(i -> YamlDocument.of("file-" + (i + 1) + ".yaml", texts[i]))
            .toList();
    return DeclarationFiles.check(documents).toResult()
            instanceof ValidationResult.Invalid<DeclarationSet> invalid
        ? invalid.errors()
        : List.of();
  }

  @Test
  void validSetHasNoErrors() {
    assertThat(errorsOf(VALID)).isEmpty();
  }

  // Guards against a rule that is no longer checked, and errors that name the wrong line or field.
  // The error is expected in the replaced line unless another line follows the field after an @.
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "2 |  - name: 'base!'                 | models[0].name             | expected a name",
        "2 |  - title: base                   | models[0].title            | unknown field",
        "4 |  - nam: letters                  | adapters[0].nam            | unknown field",
        "5 |    model: bass                   | adapters[0].model          | unknown model bass",
        "7 |      - v9                        | adapters[0].route.v1@10    | version v1 is not declared",
        "8 |      - v1                        | adapters[0].versions[1]    | duplicate version v1",
        "8 |      - 2                         | adapters[0].versions[1]    | expected text (in quotes), got 2",
        "10 |      v3: 90                     | adapters[0].route.v3       | version v3 is not declared",
        "10 |      v1: -1                     | adapters[0].route.v1       | expected a weight of 0 or more",
        "11 |      v2: ten                    | adapters[0].route.v2       | expected a whole number",
        "11 |      v1: 10                     | adapters[0].route.v1       | duplicate field, first in line 10",
        "12 |    requestClass: urgent         | adapters[0].requestClass   | expected interactive, standard or",
        "13 |    replicas: 2                  | adapters[0].replicas       | expected at most the 1 engines",
        "13 |    replicas: -1                 | adapters[0].replicas       | expected 0 or more",
        "14 |    pinned: maybe                | adapters[0].pinned         | expected true or false",
        "15 |    shift: {to: v3, percent: 5}  | adapters[0].shift.to       | version v3 is not declared",
        "15 |    shift: {to: v2, percent: 101} | adapters[0].shift.percent | expected 0 to 100",
        "16 |    stallWeight: 1.5             | adapters[0].stallWeight    | expected 0 to 1",
        "17 |    maxInFlight: 0               | adapters[0].maxInFlight    | expected 1 or more",
        "18 |  - {name: letters, model: base, versions: [v1]} | adapters[1].name | duplicate name letters, first at file-1.yaml:4",
        "18 |  - {name: notes, model: base}   | adapters[1].versions       | expected at least one version",
        "18 |  - notes                        | adapters[1]                | expected fields",
        "20 |  - {name: notes, adapter: letters} | aliases[0].name         | alias hides the adapter notes",
        "20 |  - {name: post, adapter: lettres} | aliases[0].adapter       | unknown adapter lettres",
        "22 |  - {name: orders, path: orders, identityHeader: x-order} | services[0].path | expected a path prefix",
        "22 |  - {name: orders, path: /bills/, identityHeader: x-order} | services[1].path@23 | duplicate path /bills",
        "22 |  - {name: orders, path: /v1/completions} | services[0].path  | is a path of model requests",
        "22 |  - {name: orders, path: /orders, identityHeader: 'x order'} | services[0].identityHeader | expected the name of a header",
        "23 |  - {name: bills, path: /bills, identityPointer: bill} | services[1].identityPointer | expected a JSON pointer",
        "23 |  - {name: bills, path: /bills, identityPointer: /b~2} | services[1].identityPointer | expected a JSON pointer",
        "23 |  - {name: bills, path: /bills, identityPointer: /b, identityHeader: h} | services[1].identityPointer | not both",
        "24 |  - {name: stock, path: /stock, repeatable: true, identityHeader: h} | services[2].identityHeader | expected no identity",
        "26 |  - {name: e1, kind: gpu, serves: base, domain: a, address: '10.0.0.1:80', fencing: enforced} | targets[0].kind | expected engine or service",
        "26 |  - {name: e1, kind: engine, serves: b, domain: a, address: '10.0.0.1:80', fencing: enforced, slots: 2, maxBatch: 8} | targets[0].serves | unknown model b",
        "26 |  - {name: e1, kind: engine, serves: base, domain: a, address: 'host:80', fencing: enforced, slots: 2, maxBatch: 8} | targets[0].address | expected an IP address and a port",
        "26 |  - {name: e1, kind: engine, serves: base, domain: a, address: '10.0.0.1:0', fencing: enforced, slots: 2, maxBatch: 8} | targets[0].address | expected an IP address and a port",
        "26 |  - {name: e1, kind: engine, serves: base, domain: a, address: '10.0.0.2:80', fencing: enforced, slots: 2, maxBatch: 8} | targets[1].address@27 | duplicate address",
        "26 |  - {name: e1, kind: engine, serves: base, domain: a, address: '10.0.0.1:80', fencing: strict, slots: 2, maxBatch: 8} | targets[0].fencing | expected enforced or ignored",
        "26 |  - {name: e1, kind: engine, serves: base, domain: a, address: '10.0.0.1:80', fencing: enforced, slots: 0, maxBatch: 8} | targets[0].slots | expected 1 or more",
        "26 |  - {name: e1, kind: engine, serves: base, domain: a, address: '10.0.0.1:80', fencing: enforced, slots: 2} | targets[0].maxBatch | expected 1 or more",
        "26 |  - {name: e1, kind: engine, serves: base, address: '10.0.0.1:80', fencing: enforced, slots: 2, maxBatch: 8} | targets[0].domain | expected a name",
        "27 |  - {name: s1, kind: service, serves: stock, domain: a, address: '10.0.0.2:80', fencing: ignored, slots: 3} | targets[1].slots | expected none",
        "29 |  stallWeight: 2                 | policy.stallWeight         | expected 0 to 1",
        "30 |  leavingTimeMs: -1              | policy.leavingTimeMs       | expected 0 or more",
        "30 |  leavingTimeMs: 3.5             | policy.leavingTimeMs       | expected a whole number",
        "30 |  loadsPerSecond: 0              | policy.loadsPerSecond      | expected a rate above 0",
        "30 |  loadsInFlight: 0               | policy.loadsInFlight       | expected 1 or more",
        "30 |  requestTimeoutMs: 0            | policy.requestTimeoutMs    | expected 1 or more",
        "30 |  maxInProgressPerCaller: 0          | policy.maxInProgressPerCaller  | expected 1 or more",
        "30 |  maxInProgressPerClass: 0           | policy.maxInProgressPerClass   | expected 1 or more",
        "30 |  retryBudgetRatio: 2            | policy.retryBudgetRatio    | expected 0 to 1"
      },
      ignoreLeadingAndTrailingWhitespace = false,
      quoteCharacter = '\u0001')
  void reportsEachErrorWithLineAndField(
      String lineText, String replacement, String fieldText, String expectedText) {
    int replacedLine = Integer.parseInt(lineText.strip());
    String[] fieldAndLine = fieldText.strip().split("@");
    int line = fieldAndLine.length > 1 ? Integer.parseInt(fieldAndLine[1]) : replacedLine;
    String[] lines = VALID.split("\n");
    lines[replacedLine - 1] = replacement.stripTrailing();
    List<ValidationError> errors = errorsOf(String.join("\n", lines));
    List<ValidationError> matching =
        errors.stream().filter(error -> error.field().equals(fieldAndLine[0])).toList();
    assertWithMessage("all errors: %s", errors).that(matching).hasSize(1);
    assertThat(matching.getFirst().expected()).contains(expectedText.strip());
    assertThat(matching.getFirst().file()).isEqualTo("file-1.yaml");
    assertThat(matching.getFirst().line()).isEqualTo(line);
  }

  // Guards against a report that stops at the first error.
  @Test
  void reportsAllErrorsOfAllFiles() {
    List<ValidationError> errors =
        errorsOf(
            "models: [{name: base}]\nadapters:\n  - {name: a, model: basis, versions: []}\n",
            "adapters:\n  - {name: b, model: base, versions: [v1], colour: red}\n"
                + "  - name: a\n    model: base\n    versions: [v1]\n    route:\n      v2: 1\n",
            "policy: {stallWeight: 7}\n");
    assertThat(
            errors.stream().map(error -> error.file() + ":" + error.line() + ":" + error.field()))
        .containsExactly(
            "file-1.yaml:3:adapters[0].model",
            "file-1.yaml:3:adapters[0].versions",
            "file-2.yaml:2:adapters[0].colour",
            "file-2.yaml:3:adapters[1].name",
            "file-2.yaml:7:adapters[1].route.v2",
            "file-3.yaml:1:policy.stallWeight")
        .inOrder();
  }

  // Guards against one of two policy sections being silently ignored.
  @Test
  void secondPolicySectionIsAnError() {
    assertThat(errorsOf("policy: {stallWeight: 0.1}\n", "\npolicy: {stallWeight: 0.2}\n"))
        .containsExactly(
            new ValidationError(
                "file-2.yaml", 2, "policy", "expected one section, first at file-1.yaml:1"));
  }

  // Guards against malformed files whose valid beginning is accepted.
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "models: [|1",
        "- a|1",
        "models: []\\n---\\nmodels: []|3",
        "a: &x {b: 1}\\nc: *x|2",
        "models:\\n  - {name: base}\\n }|3"
      })
  void malformedFilesAreRejected(String text, int line) {
    List<ValidationError> errors = errorsOf(text.replace("\\n", "\n"));
    assertThat(errors).isNotEmpty();
    assertWithMessage("%s", errors)
        .that(errors.stream().map(ValidationError::line).toList())
        .contains(line);
  }

  // Guards against a section of the wrong type that prevents the other sections from being read.
  @Test
  void sectionOfWrongTypeIsAnError() {
    assertThat(errorsOf("adapters: 7\nmodels:\n", "adapters:\n  - {name: a, model: b}\n"))
        .isNotEmpty();
    assertThat(errorsOf("adapters:\nmodels: [{name: base}]\n", "adapters: []\n")).isEmpty();
  }

  // Guards against an empty file, or files without a declaration, that pass as a valid set and
  // remove everything when they are applied.
  @Test
  void emptyFilesAndSetsAreErrors() {
    ValidationError emptyFile =
        new ValidationError("file-1.yaml", 1, "(file)", "expected declarations, got an empty file");
    assertThat(errorsOf("")).containsExactly(emptyFile);
    assertThat(errorsOf("# only a comment\n")).containsExactly(emptyFile);
    assertThat(errorsOf("", VALID)).containsExactly(emptyFile);
    ValidationError emptySet =
        new ValidationError(
            "file-1.yaml",
            1,
            "(file)",
            "expected at least one model, adapter, alias, service or target, got none");
    assertThat(errorsOf("adapters:\nmodels: []\n", "adapters: []\n")).containsExactly(emptySet);
    assertThat(errorsOf("policy: {stallWeight: 0.5}\n")).containsExactly(emptySet);
  }
}
