package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One immutable version of one adapter, written {@code ADAPTER@VERSION}.
 *
 * <pre>{@code
 * AdapterVersion.parse("compliance-letters@v3").version(); // "v3"
 * }</pre>
 */
public record AdapterVersion(String adapter, String version) {

  /** Separates the adapter from its version in the text form. */
  public static final char SEPARATOR = '@';

  /** Rejects an empty adapter or version and one that contains the separator. */
  public AdapterVersion {
    checkArgument(isName(adapter), "invalid adapter name: %s", adapter);
    checkArgument(isName(version), "invalid adapter version: %s", version);
  }

  /**
   * Parses the text form.
   *
   * @throws IllegalArgumentException when the text is not {@code ADAPTER@VERSION}
   */
  public static AdapterVersion parse(String text) {
    int at = text.indexOf(SEPARATOR);
    checkArgument(at > 0, "expected ADAPTER@VERSION, got: %s", text);
    return new AdapterVersion(text.substring(0, at), text.substring(at + 1));
  }

  private static boolean isName(String part) {
    return part != null && !part.isEmpty() && part.indexOf(SEPARATOR) < 0;
  }

  @Override
  public String toString() {
    return adapter + SEPARATOR + version;
  }
}
