package org.apricotstand.model;

import static com.google.common.base.Preconditions.checkArgument;

/** Identifier of a caller's request, unique across all instances. */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Rejects an empty value. */
  public RequestId {
    checkArgument(value != null && !value.isEmpty(), "request id must not be empty");
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
