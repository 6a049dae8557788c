package org.apricotstand.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apricotstand.declaration.ValidationError;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InstanceSettingsTest {

  private static final String VALID =
      """
      instance: entry-1
      domain: a
      callerAddress: "0.0.0.0:8080"
      peerAddress: "10.0.0.1:7080"
      operatorAddress: "127.0.0.1:9080"
      operatorToken: "0123456789abcdef"
      platformUrl: "http://10.0.0.9:9100"
      peers:
        - {instance: entry-2, domain: a, address: "10.0.0.2:7080"}
      callerLimits:
        maxBodyBytes: 65536
      """;

  private static List<ValidationError> errorsOf(String text) {
    return SettingsValidator.read(YamlDocument.of("entry.yaml", text))
            instanceof ValidationResult.Invalid<InstanceSettings> invalid
        ? invalid.errors()
        : List.of();
  }

  @Test
  void acceptsValidSettings() {
    assertThat(errorsOf(VALID)).isEmpty();
  }

  // Guards against a rule that is no longer checked and an error with the wrong line or field.
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '\u0001',
      value = {
        "1 | instance: | instance | expected a name",
        "2 | domian: a | domian | unknown field",
        "3 | callerAddress: localhost:80 | callerAddress | expected an IP address and a port",
        "4 | peerAddress: '0.0.0.0:70' | peerAddress | not the wildcard",
        "5 | operatorAddress: 9080 | operatorAddress | expected text",
        "6 | operatorToken: short | operatorToken | at least 16",
        "7 | platformUrl: '10.0.0.9:9100' | platformUrl | expected a URL",
        "7 | platformUrl: 'http://10.0.0.9:9100/' | platformUrl | expected a URL",
        "9 | - {instance: entry-1, domain: a, address: '10.0.0.2:7080'} | peers[0].instance | other",
        "9 | - {instance: entry-2, address: '10.0.0.2:7080'} | peers[0].domain | expected a name",
        "9 | - {instance: entry-2, domain: a, address: x} | peers[0].address | expected an IP",
        "11 |  maxBodyBytes: 4 MB | callerLimits.maxBodyBytes | expected a whole number",
        "11 |  maxHeaderBytes: 1 | callerLimits.maxHeaderBytes | expected 1024 or more",
        "11 |  maxAnswerBytes: 1 | callerLimits.maxAnswerBytes | expected 1024 or more",
        "11 |  maxConnections: 0 | callerLimits.maxConnections | expected 1 or more",
        "11 |  idleTimeMs: 0 | callerLimits.idleTimeMs | expected 1 or more",
        "11 |  requestTimeMs: 0 | callerLimits.requestTimeMs | expected 1 or more"
      })
  void reportsLineAndFieldOfEachError(int line, String replacement, String field, String expected) {
    String[] lines = VALID.split("\n");
    lines[line - 1] = (line > 8 ? "  " : "") + replacement;
    List<ValidationError> errors = errorsOf(String.join("\n", lines));
    List<ValidationError> matching =
        errors.stream().filter(error -> error.field().equals(field)).toList();
    assertWithMessage("all errors: %s", errors).that(matching).hasSize(1);
    assertThat(matching.getFirst().line()).isEqualTo(line);
    assertThat(matching.getFirst().expected()).contains(expected);
  }

  // Guards against an operator interface that anyone on the network can use.
  @Test
  void publicOperatorAddressRequiresToken() {
    String text =
        VALID
            .replace("operatorAddress: \"127.0.0.1", "operatorAddress: \"0.0.0.0")
            .replace("operatorToken: \"0123456789abcdef\"\n", "");
    List<ValidationError> errors = errorsOf(text);
    assertThat(errors.stream().map(ValidationError::field)).containsExactly("operatorToken");
    assertThat(errorsOf(text.replace("0.0.0.0:9080", "[::1]:9080"))).isEmpty();
  }

  // Guards against a check that stops at the first error.
  @Test
  void reportsAllErrorsAtOnce() {
    assertThat(errorsOf("instance: a\ncolour: red\n").stream().map(ValidationError::field))
        .containsAtLeast("colour", "domain", "callerAddress", "peerAddress", "platformUrl");
  }
}
