package org.apricotstand.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.apricotstand.declaration.Fault;

/**
 * Result of reading files.
 *
 * <pre>{@code
 * switch (InstanceSettings.read(file)) {
 *   case Checked.Valid<InstanceSettings>(InstanceSettings settings) -> start(settings);
 *   case Checked.Faulty<InstanceSettings> faulty -> System.err.println(faulty.report());
 * }
 * }</pre>
 */
public sealed interface Checked<T> {

  /** The files are without fault. */
  record Valid<T>(T value) implements Checked<T> {}

  /** The files have faults, in the order of their places. */
  record Faulty<T>(List<Fault> faults) implements Checked<T> {

    /** Sorts the faults. */
    public Faulty {
      faults = faults.stream().distinct().sorted(Fault.ORDER).toList();
    }

    /** Returns one line for each fault. */
    public String report() {
      return faults.stream().map(Fault::toString).collect(Collectors.joining("\n"));
    }
  }
}
