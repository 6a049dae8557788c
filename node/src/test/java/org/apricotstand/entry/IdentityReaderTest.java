package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class IdentityReaderTest {

  private static Optional<String> read(String body, String pointer) {
    HttpRequest request =
        new HttpRequest(
            "POST",
            "/orders",
            "",
            new DefaultHttpHeaders(),
            body.getBytes(StandardCharsets.UTF_8),
            "unknown");
    return IdentityReader.read(
        request, new PlainService("orders", "/orders", false, null, pointer));
  }

  /**
   * Guards against an identity that differs from that of the tree of the body, by which instances
   * of earlier versions claim requests.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"id\":\"a\"}|/id",
        "{\"a\":{\"id\":\"b\"},\"id\":\"c\"}|/a/id",
        "{\"list\":[{\"id\":1},{\"id\":2}]}|/list/1/id",
        "{\"id\":1.50}|/id",
        "{\"id\":1e2}|/id",
        "{\"id\":12345678901234567890}|/id",
        "{\"id\":true}|/id",
        "{\"id\":null}|/id",
        "{\"id\":\" \"}|/id",
        "{\"id\":{\"id\":\"a\"}}|/id",
        "{\"id\":[\"a\"]}|/id",
        "{\"id\":\"a\",\"id\":\"b\"}|/id",
        "{\"id\":\"a\",\"id\":{}}|/id",
        "{\"id\":\"a\",\"b\":[}|/id",
        "{\"id\":\"a\"|/id",
        "{\"\u96ea\":\"\u96ea\"}|/\u96ea",
        "{\"id\":\"a\"}|/other",
        "[\"a\",\"b\"]|/1",
        "x|/id"
      })
  void identityIsThatOfTheTree(String body, String pointer) {
    assertThat(read(body, pointer)).isEqualTo(readTree(body, pointer));
  }

  @Test
  void emptyBodyHasNoIdentity() {
    assertThat(read("", "/id")).isEqualTo(Optional.empty());
  }

  private static Optional<String> readTree(String body, String pointer) {
    try {
      JsonNode value = new ObjectMapper().readTree(body).at(JsonPointer.compile(pointer));
      return value.isValueNode() && !value.isNull() && !value.asText().isBlank()
          ? Optional.of(value.asText())
          : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
