package org.apricotstand.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ModelBodyTest {

  private static ModelBody read(String text) throws IOException {
    return ModelBody.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String replaced(String text) throws IOException {
    return new String(read(text).withModel("m@v\"1"), StandardCharsets.UTF_8);
  }

  /** Guards against a replacement at a wrong position, which would damage the request. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"model\":%s}",
        "{ \"a\" : {\"model\":\"x\"}, \"model\" : %s , \"b\":[1.50,{\"model\":null}]}",
        "{\"snow\":\"\u96ea \ud83d\ude00\",\"model\":%s,\"end\":\"\u00e9\"}",
        "{\"a\":1,\r\n\t\"model\":%s\n}"
      })
  void onlyTheNameIsReplaced(String format) throws IOException {
    String text = format.formatted("\"letters\"");
    assertThat(read(text).model()).isEqualTo("letters");
    assertThat(replaced(text)).isEqualTo(format.formatted("\"m@v\\\"1\""));
  }

  /** Guards against offsets that are wrong where the parser fills its buffer anew. */
  @Test
  void nameAnywhereInLargeBodyIsFound() throws IOException {
    for (int length = 3_900; length < 4_100; length++) {
      String text = "{\"a\":\"" + "x".repeat(length) + "\",\"model\":\"%s\",\"b\":[{},{}]}";
      assertThat(replaced(text.formatted("letters"))).isEqualTo(text.formatted("m@v\\\"1"));
    }
  }

  @Test
  void nameMayHaveEscapesAndOtherLetters() throws IOException {
    assertThat(read("{\"mod\\u0065l\":\"\\u96ea\u96ea\\n\"}").model()).isEqualTo("\u96ea\u96ea\n");
  }

  /** Guards against an engine that takes another of several names than the one that was checked. */
  @Test
  void allNamesAreReplacedAndTheLastCounts() throws IOException {
    String text = "{\"model\":\"a\",\"model\":\"b\"}";
    assertThat(read(text).model()).isEqualTo("b");
    assertThat(replaced(text)).isEqualTo("{\"model\":\"m@v\\\"1\",\"model\":\"m@v\\\"1\"}");
  }

  @Test
  void whatFollowsTheObjectIsDropped() throws IOException {
    assertThat(replaced(" {\"model\":\"a\"} x")).isEqualTo("{\"model\":\"m@v\\\"1\"}");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "x",
        "[]",
        "null",
        "{}",
        "{\"model\":1}",
        "{\"model\":null}",
        "{\"model\":{}}",
        "{\"model\":\"a\"",
        "{\"model\":\"a\",\"b\":[}",
        "{\"model\":\"a",
        "{\"a\":{\"model\":\"a\"}}"
      })
  void otherBodiesAreNotAccepted(String text) {
    assertThrows(IOException.class, () -> read(text));
  }
}
