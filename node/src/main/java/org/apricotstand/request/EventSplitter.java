package org.apricotstand.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of server-sent events at the ends of events and remembers the id of the last whole
 * one, after which a broken stream can be resumed.
 *
 * <pre>{@code
 * byte[] whole = splitter.feed(part); // may be empty
 * String after = splitter.lastEventId();
 * }</pre>
 */
final class EventSplitter {

  private static final byte[] NOTHING = new byte[0];
  private static final String ID_FIELD = "id:";

  private byte[] rest = NOTHING;
  private String lastEventId;

  /** Takes a part of the stream and returns the events that it completes. */
  byte[] feed(byte[] part) {
    byte[] joined = join(rest, part);
    int end = 0;
    for (int i = 1; i < joined.length; i++) {
      if (joined[i] == '\n' && isLineEnd(joined, i - 1)) {
        readId(joined, end, i);
        end = i + 1;
      }
    }
    rest = Arrays.copyOfRange(joined, end, joined.length);
    return Arrays.copyOf(joined, end);
  }

  /** Returns the bytes of an event that did not end, and forgets them. */
  byte[] takeIncomplete() {
    byte[] taken = rest;
    rest = NOTHING;
    return taken;
  }

  /** Returns the id of the last whole event; null when there was none. */
  String lastEventId() {
    return lastEventId;
  }

  private static boolean isLineEnd(byte[] bytes, int before) {
    return bytes[before] == '\n'
        || (bytes[before] == '\r' && before > 0 && bytes[before - 1] == '\n');
  }

  private void readId(byte[] bytes, int start, int end) {
    String event = new String(bytes, start, end - start, StandardCharsets.UTF_8);
    event
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).trim())
        .forEach(id -> lastEventId = id);
  }

  private static byte[] join(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }
}
