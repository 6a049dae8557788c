package org.apricotstand.request;

import java.util.Optional;
import java.util.regex.Pattern;

/** Tracks the ids of the events that a caller has, and decides which events may follow them. */
final class EventIds {

  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

  /** Fewer ids do not show that the ids of a stream rise by one. */
  private static final int MIN_CONSECUTIVE_IDS = 2;

  private String last;
  private int count;
  private boolean consecutive = true;
  private boolean behindEventWithoutId;

  /** Records an event that the caller gets; empty if the event has no id. */
  void record(Optional<String> id) {
    behindEventWithoutId = id.isEmpty();
    if (id.isPresent()) {
      consecutive = consecutive && (last == null || isNext(id.get()));
      last = id.get();
      count++;
    }
  }

  /** Returns the id of the last event that had one; null if there was none. */
  String last() {
    return last;
  }

  /** Returns whether a target can go on behind the last event, because it is known by its id. */
  boolean canResume() {
    return !behindEventWithoutId;
  }

  /**
   * Returns whether an event with this id can follow the last one: its id is greater, or the next
   * number if all ids so far rose by one.
   */
  boolean canFollow(String id) {
    if (last == null) {
      return true;
    }
    if (!isNumber(last) || !isNumber(id)) {
      return !id.equals(last);
    }
    return consecutive && count >= MIN_CONSECUTIVE_IDS
        ? isNext(id)
        : Long.parseLong(id) > Long.parseLong(last);
  }

  private boolean isNext(String id) {
    return isNumber(last) && isNumber(id) && Long.parseLong(id) == Long.parseLong(last) + 1;
  }

  private static boolean isNumber(String id) {
    return NUMBER.matcher(id).matches();
  }
}
