package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Path of the declaration files of a command, given as an argument or by {@code --files}. */
final class FilesOption {

  @Parameter(description = "[FOLDER or FILE of declarations]")
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--files", description = "folder of declaration files, or one file")
  private String option;

  /**
   * Returns the folder or file, or empty if none was given.
   *
   * @throws ParameterException if several were given
   */
  Optional<Path> path() {
    List<String> paths = Stream.concat(arguments.stream(), Stream.ofNullable(option)).toList();
    if (paths.size() > 1) {
      throw new ParameterException(
          "expected one folder or file of declarations, got: " + String.join(" ", paths));
    }
    return paths.stream().findFirst().map(Path::of);
  }

  /**
   * Returns the folder or file.
   *
   * @throws ParameterException if none or several were given
   */
  Path requiredPath() {
    return path()
        .orElseThrow(
            () ->
                new ParameterException(
                    "expected a folder or file of declarations, as an argument or as --files"));
  }
}
