package org.apricotstand.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotstand.port.MemoryLimits;

/** Reads the limits of this process that bound what it may hold for callers. */
public final class ProcessLimits {

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES =
      Pattern.compile("^Max open files +(\\d+)", Pattern.MULTILINE);

  private ProcessLimits() {}

  /** Returns the limits that follow from the heap and the descriptors of this process. */
  public static MemoryLimits memoryLimits() {
    return MemoryLimits.forProcess(
        Runtime.getRuntime().maxMemory(), maxDescriptors().orElse(Long.MAX_VALUE));
  }

  private static OptionalLong maxDescriptors() {
    try {
      Matcher limit = OPEN_FILES.matcher(Files.readString(LIMITS));
      return limit.find() ? OptionalLong.of(Long.parseLong(limit.group(1))) : OptionalLong.empty();
    } catch (IOException e) {
      // The limit is unlimited or not known; that of the heap applies.
      return OptionalLong.empty();
    }
  }
}
