package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Names the declaration files of a command, as an argument or by option. */
final class FilesOption {

  @Parameter(description = "[FOLDER or FILE of declarations]")
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--files", description = "folder of declaration files, or one file")
  private String option;

  /**
   * Returns the folder or file, empty when none was named.
   *
   * @throws ParameterException when several were named
   */
  Optional<Path> path() {
    List<String> named = Stream.concat(arguments.stream(), Stream.ofNullable(option)).toList();
    if (named.size() > 1) {
      throw new ParameterException(
          "expected one folder or file of declarations, got: " + String.join(" ", named));
    }
    return named.stream().findFirst().map(Path::of);
  }

  /**
   * Returns the folder or file.
   *
   * @throws ParameterException when none or several were named
   */
  Path required() {
    return path()
        .orElseThrow(
            () ->
                new ParameterException(
                    "expected a folder or file of declarations, as an argument or as --files"));
  }
}
