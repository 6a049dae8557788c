package org.apricotstand.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.ValidationResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against examples, which operators copy, that use fields which no longer exist. */
class ExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  @ParameterizedTest
  @ValueSource(strings = {"first", "steppe-haze", "lakeshore"})
  void declarationsAreValid(String folder) {
    assertThat(DeclarationFiles.read(EXAMPLES.resolve(folder)))
        .isInstanceOf(ValidationResult.Valid.class);
  }

  @Test
  void settingsAreValid() {
    assertThat(InstanceSettings.read(EXAMPLES.resolve("entry.yaml")))
        .isInstanceOf(ValidationResult.Valid.class);
  }
}
