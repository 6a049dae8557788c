package org.apricotstand.bench;

import java.io.IOException;
import java.nio.file.Path;
import org.apricotstand.model.Result;

/** Writes declarations to the platform of a benchmark. */
@FunctionalInterface
public interface DeclarationWriter {

  /** Applies a folder of declaration files and returns the accepted revision. */
  Result<Long> apply(String platformUrl, Path folder) throws IOException;
}
