package org.apricotstand.observe;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EventLogTest {

  /** Guards against a value from a caller that forges log lines or pairs. */
  @Test
  void escapesControlCharactersAndQuotes() {
    assertThat(EventLog.line("Test", "refused", "name", "a\r\nevent=x \"y\"\u2028"))
        .isEqualTo("event=refused source=Test name=\"a\\r\\nevent=x \\\"y\\\"\\u2028\"");
  }

  @Test
  void leavesPlainValuesUnquoted() {
    assertThat(EventLog.line("Test", "loaded", "target", "engine-1", "load_ms", 250))
        .isEqualTo("event=loaded source=Test target=engine-1 load_ms=250");
  }
}
