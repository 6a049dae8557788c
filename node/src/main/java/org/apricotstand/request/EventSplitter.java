package org.apricotstand.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

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

  private byte[] incomplete = EMPTY;
  private String lastEventId;

  /** Adds a part of the stream and returns all events that it completes, unchanged. */
  byte[] feed(byte[] part) {
    byte[] joined = concat(incomplete, part);
    int end = 0;
    for (int i = 1; i < joined.length; i++) {
      if (joined[i] == '\n' && isEventEnd(joined, i - 1)) {
        readEventIds(joined, end, i);
        end = i + 1;
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
    return lastEventId;
  }

  /** Returns whether the line feed after this index ends an empty line, which ends an event. */
  private static boolean isEventEnd(byte[] bytes, int index) {
    return bytes[index] == '\n' || (bytes[index] == '\r' && index > 0 && bytes[index - 1] == '\n');
  }

  private void readEventIds(byte[] bytes, int start, int end) {
    String event = new String(bytes, start, end - start, StandardCharsets.UTF_8);
    event
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).trim())
        .forEach(id -> lastEventId = id);
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
