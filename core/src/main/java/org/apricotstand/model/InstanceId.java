package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkArgument;

/** Name of an instance, taken from its settings. */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Rejects an empty value. */
  public InstanceId {
    checkArgument(value != null && !value.isEmpty(), "instance id must not be empty");
  }

  // Not the generated methods: linking them at their first call costs time at each start.
  @Override
  public boolean equals(Object other) {
    return other == this || other instanceof InstanceId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
