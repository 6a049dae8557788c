package org.apricotstand.bench;

import java.io.IOException;
import java.nio.file.Path;
import org.apricotstand.model.Result;

/** Applies a folder of declaration files and returns the accepted revision. */
@FunctionalInterface
public interface DeclarationWriter {

  /** Applies the files of a folder. */
  Result<Long> apply(String platformUrl, Path folder) throws IOException;
}
