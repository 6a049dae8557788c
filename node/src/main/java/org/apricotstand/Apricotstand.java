package org.apricotstand;

import java.nio.file.Path;
import org.apricotstand.configuration.CheckedDeclarations;
import org.apricotstand.configuration.DeclarationFiles;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.entry.EntryInstance;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.ValidationResult;

/**
 * Reads settings and declarations, and starts instances.
 *
 * <pre>{@code
 * switch (Apricotstand.readSettings(file)) {
 *   case ValidationResult.Valid<InstanceSettings>(InstanceSettings settings) -> Apricotstand.start(settings);
 *   case ValidationResult.Invalid<InstanceSettings> invalid ->
 *       System.err.println(invalid.report());
 * }
 * }</pre>
 */
public final class Apricotstand {

  private Apricotstand() {}

  /** Reads and checks the settings of an instance. The result has all faults of the file. */
  public static ValidationResult<InstanceSettings> readSettings(Path file) {
    return InstanceSettings.read(file);
  }

  /** Reads and checks declarations from a folder or a single file, without the platform. */
  public static ValidationResult<DeclarationSet> readDeclarations(Path folderOrFile) {
    return DeclarationFiles.read(folderOrFile);
  }

  /** Does the same as {@link #readDeclarations}, and also returns the warnings. */
  public static CheckedDeclarations checkDeclarations(Path folderOrFile) {
    return DeclarationFiles.check(folderOrFile);
  }

  /**
   * Starts an instance and returns when it listens on its addresses. Closing it drains it first.
   */
  public static EntryInstance start(InstanceSettings settings) {
    return EntryInstance.start(settings);
  }
}
