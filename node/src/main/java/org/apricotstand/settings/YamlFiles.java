package org.apricotstand.settings;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/** Reads YAML files into records. */
public final class YamlFiles {

  private static final ObjectMapper YAML =
      new ObjectMapper(new YAMLFactory())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private YamlFiles() {}

  /** Reads a file; the failure names the file, the line and the field. */
  public static <T> Result<T> read(Path file, Class<T> type) {
    try {
      return Result.ok(YAML.readValue(file.toFile(), type));
    } catch (IOException e) {
      return Result.failed(
          new Failure(Step.ADMISSION, file.toString(), "invalid_file", e.getMessage()));
    }
  }
}
