package org.apricotstand.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Takes keys from a map of the times at which they are due. */
final class DueKeys {

  private DueKeys() {}

  /** Removes and returns the keys that are due. */
  static List<String> take(Map<String, Long> dueMs, long nowMs) {
    List<String> due = find(dueMs, nowMs);
    due.forEach(dueMs::remove);
    return due;
  }

  /** Returns the keys that are due. A loop instead of a stream, which costs more at each tick. */
  static List<String> find(Map<String, Long> dueMs, long nowMs) {
    List<String> due = new ArrayList<>();
    for (Map.Entry<String, Long> entry : dueMs.entrySet()) {
      if (nowMs >= entry.getValue()) {
        due.add(entry.getKey());
      }
    }
    return due;
  }
}
