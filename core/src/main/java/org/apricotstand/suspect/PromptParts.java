package org.apricotstand.suspect;

import java.util.List;
import java.util.stream.Stream;

/** Reads the list of prompt parts that a request declares. */
public final class PromptParts {

  /** Longer lists are cut off, so that a caller cannot make a request costly to judge. */
  static final int MAX_PARTS = 16;

  private PromptParts() {}

  /**
   * Returns the ids of the parts that other requests may have too, in their order: all but the last
   * one.
   *
   * @param declared list of {@code ID:TOKENS} pairs, separated by commas; null if none is declared
   */
  public static List<String> shared(String declared) {
    if (declared == null) {
      return List.of();
    }
    String[] pairs = declared.split(",", MAX_PARTS + 2);
    return Stream.of(pairs)
        .limit(Math.min(MAX_PARTS, pairs.length - 1))
        .map(PromptParts::idOf)
        .toList();
  }

  private static String idOf(String pair) {
    return pair.split(":", 2)[0].strip();
  }
}
