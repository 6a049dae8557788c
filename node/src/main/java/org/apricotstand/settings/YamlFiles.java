package org.apricotstand.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apricotstand.declaration.ValidationError;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/** Reads YAML files into records. */
public final class YamlFiles {

  private static final ObjectMapper JSON = new ObjectMapper();

  private YamlFiles() {}

  /**
   * Reads a file into a record. Fields without a value stay null or 0.
   *
   * @return the record, or a failure that names the file, line and field of each error
   */
  public static <T> Result<T> read(Path file, Class<T> type) {
    YamlDocument document = YamlDocument.read(file);
    List<ValidationError> errors = new ArrayList<>(document.errors());
    new RecordSchemaValidator(
            (path, expected) ->
                errors.add(
                    new ValidationError(document.file(), document.lineAt(path), path, expected)))
        .removeInvalidFields(document.root(), type, "");
    if (!errors.isEmpty()) {
      return failed(file, new ValidationResult.Invalid<T>(errors).report());
    }
    try {
      return Result.ok(JSON.treeToValue(document.root(), type));
    } catch (JsonProcessingException e) {
      return failed(file, String.valueOf(e.getOriginalMessage()));
    }
  }

  private static <T> Result<T> failed(Path file, String detail) {
    return Result.failed(new Failure(Step.ADMISSION, file.toString(), "invalid_file", detail));
  }
}
