package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkArgument;

/** Name of a target: a model engine or a plain service. */
public record TargetId(String value) implements Comparable<TargetId> {

  /** Rejects an empty value. */
  public TargetId {
    checkArgument(value != null && !value.isEmpty(), "target id must not be empty");
  }

  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
