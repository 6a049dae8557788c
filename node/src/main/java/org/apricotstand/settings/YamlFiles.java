package org.apricotstand.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apricotstand.declaration.Fault;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;

/** Reads YAML files into records. */
public final class YamlFiles {

  private static final ObjectMapper JSON = new ObjectMapper();

  private YamlFiles() {}

  /** Reads a file; the failure names the file, line and field of each fault. */
  public static <T> Result<T> read(Path file, Class<T> type) {
    YamlDocument document = YamlDocument.read(file);
    List<Fault> faults = new ArrayList<>(document.faults());
    new RecordBinder(
            (path, expected) ->
                faults.add(new Fault(document.file(), document.line(path), path, expected)))
        .prune(document.root(), type, "");
    if (!faults.isEmpty()) {
      return failed(file, new Checked.Faulty<T>(faults).report());
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
