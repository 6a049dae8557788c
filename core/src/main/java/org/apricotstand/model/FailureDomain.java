package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkArgument;

/** Name of a set of instances and targets that fail or are cut off together. */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

  /** Rejects an empty value. */
  public FailureDomain {
    checkArgument(value != null && !value.isEmpty(), "failure domain must not be empty");
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
