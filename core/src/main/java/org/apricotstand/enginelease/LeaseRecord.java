package org.apricotstand.enginelease;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotstand.model.StoreVersion;

/**
 * Row of the table service that stores the lease of an engine.
 *
 * @param engine id of the engine
 * @param holder name of the instance that holds the lease or, when it is released, held it last;
 *     empty if no instance ever held it
 * @param released whether the holder released the lease; also true when no instance ever held it
 * @param writtenEra era of the table service that the holder knew when it wrote the row
 * @param rowVersion version of the stored row
 */
public record LeaseRecord(
    String engine, String holder, boolean released, long writtenEra, StoreVersion rowVersion) {

  private static final Pattern CONTENT =
      Pattern.compile("(released )?(.*?)(?: era (\\d{1,7}))?", Pattern.DOTALL);

  /** Returns the record of an engine that has no row. */
  static LeaseRecord absent(String engine, long era) {
    return new LeaseRecord(engine, "", true, 0, StoreVersion.absentIn(era));
  }

  /** Decodes the content of a stored row, see {@link #content()}. */
  public static LeaseRecord decode(String engine, String content, StoreVersion rowVersion) {
    Matcher matcher = CONTENT.matcher(content);
    checkArgument(matcher.matches(), "the lease of %s is unreadable", engine);
    long writtenEra = matcher.group(3) == null ? 0 : Long.parseLong(matcher.group(3));
    boolean released = matcher.group(1) != null;
    return new LeaseRecord(engine, matcher.group(2), released, writtenEra, rowVersion);
  }

  /**
   * Returns the content of the row: the name of the holder, with a prefix when released, and with
   * the era in which it was written unless that is 0.
   */
  public String content() {
    return (released ? "released " : "") + holder + (writtenEra == 0 ? "" : " era " + writtenEra);
  }

  /** Returns whether the row was written after the table service was restored last. */
  boolean isOfCurrentEra() {
    return writtenEra == rowVersion.era();
  }

  /** Returns whether another instance wrote the row after the last restore of the service. */
  boolean isTakenByOther(String instance) {
    return !rowVersion.isAbsent() && isOfCurrentEra() && !holder.equals(instance);
  }
}
