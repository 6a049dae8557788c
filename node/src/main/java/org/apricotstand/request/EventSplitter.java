package org.apricotstand.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into whole events and keeps the id of the last whole event,
 * after which a broken stream can be resumed.
 *
 * <pre>{@code
 * byte[] wholeEvents = splitter.feed(part); // may be empty
 * String resumeAfter = splitter.lastEventId();
 * }</pre>
 */
final class EventSplitter {

  private static final byte[] EMPTY = new byte[0];
  private static final String ID_FIELD = "id:";

  private static final String COMMENT = ":";

  private final EventIds ids = new EventIds();
  private byte[] incomplete = EMPTY;
  private boolean continuation;
  private boolean continued;
  private boolean discontinued;

  /**
   * Starts the answer of another target, which has to go on behind the last whole event: each of
   * its events needs an id that can follow.
   */
  void beginContinuation() {
    incomplete = EMPTY;
    continuation = true;
    continued = false;
    discontinued = false;
  }

  /**
   * Adds a part of the stream and returns all events that it completes, unchanged. Events behind
   * one that does not continue the stream are dropped.
   */
  byte[] feed(byte[] part) {
    byte[] joined = concat(incomplete, part);
    int end = 0;
    for (int i = 1; i < joined.length && !discontinued; i++) {
      if (joined[i] == '\n' && isEventEnd(joined, i - 1)) {
        discontinued = !accept(new String(joined, end, i - end, StandardCharsets.UTF_8));
        end = discontinued ? end : i + 1;
      }
    }
    incomplete = Arrays.copyOfRange(joined, end, joined.length);
    return Arrays.copyOf(joined, end);
  }

  /** Removes and returns the bytes of the last event if its end has not arrived. */
  byte[] takeIncomplete() {
    byte[] taken = incomplete;
    incomplete = EMPTY;
    return taken;
  }

  /** Returns the number of bytes that wait for the end of their event. */
  int incompleteBytes() {
    return incomplete.length;
  }

  /** Returns the id of the last whole event that had one; null if there was none. */
  String lastEventId() {
    return ids.last();
  }

  /** Returns whether the stream can be resumed: the last event that was returned has an id. */
  boolean canResume() {
    return ids.canResume();
  }

  /** Returns whether the current answer has brought an event, other than a comment. */
  boolean hasContinued() {
    return continued;
  }

  /** Returns whether an event did not continue the stream. */
  boolean isDiscontinued() {
    return discontinued;
  }

  /** Returns whether the line feed after this index ends an empty line, which ends an event. */
  private static boolean isEventEnd(byte[] bytes, int index) {
    return bytes[index] == '\n' || (bytes[index] == '\r' && index > 0 && bytes[index - 1] == '\n');
  }

  /** Returns whether an event may follow those before it, and records it in this case. */
  private boolean accept(String event) {
    List<String> lines = event.lines().filter(line -> !line.isEmpty()).toList();
    if (lines.stream().allMatch(line -> line.startsWith(COMMENT))) {
      return true;
    }
    Optional<String> id =
        lines.stream()
            .filter(line -> line.startsWith(ID_FIELD))
            .map(line -> line.substring(ID_FIELD.length()).trim())
            .reduce((first, second) -> second);
    if (continuation && !id.map(ids::canFollow).orElse(false)) {
      return false;
    }
    ids.record(id);
    continued = true;
    return true;
  }

  private static byte[] concat(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }
}
