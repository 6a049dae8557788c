package org.apricotstand.owner;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into whole events and counts those that carry a token, so
 * that a broken stream can be resumed after the last whole event.
 *
 * <pre>{@code
 * byte[] wholeEvents = splitter.feed(part); // may be empty
 * long fromToken = splitter.tokenCount();   // index of the token to resume from
 * }</pre>
 */
final class TokenEventSplitter {

  private static final byte[] DONE_EVENT = {
    'd', 'a', 't', 'a', ':', ' ', '[', 'D', 'O', 'N', 'E', ']'
  };
  private static final byte[] EMPTY = new byte[0];

  private byte[] incomplete = EMPTY;
  private long tokenCount;
  private boolean done;
  private boolean foreign;

  /**
   * Adds a part of the stream and returns all events that it completes, unchanged, up to bytes that
   * are no event.
   */
  byte[] feed(byte[] part) {
    byte[] joined = concat(incomplete, part);
    int end = 0;
    for (int i = 1; i < joined.length && !foreign; i++) {
      if (joined[i] == '\n' && joined[i - 1] == '\n' && i > end) {
        foreign = !isEventStart(joined[end]);
        end = foreign ? end : countEvent(joined, end, i + 1);
      }
    }
    incomplete = Arrays.copyOfRange(joined, end, joined.length);
    return Arrays.copyOf(joined, end);
  }

  /** Discards the incomplete event at the end, since the resumed stream sends it again. */
  void dropIncomplete() {
    incomplete = EMPTY;
  }

  /** Returns the number of whole events so far that carry a token. */
  long tokenCount() {
    return tokenCount;
  }

  /** Returns whether the stream holds bytes that are no event, such as the head of an error. */
  boolean hasForeignEvent() {
    return foreign;
  }

  /** Returns whether the final event of the answer, {@code [DONE]}, has arrived. */
  boolean isDone() {
    return done;
  }

  /** Returns whether an event can begin so: with a comment, a field name, or an empty line. */
  private static boolean isEventStart(byte first) {
    return first == ':' || first == '\n' || first == '\r' || (first >= 'a' && first <= 'z');
  }

  /** Counts an event and returns its end. */
  private int countEvent(byte[] bytes, int start, int end) {
    boolean isDoneEvent =
        bytes.length >= start + DONE_EVENT.length
            && Arrays.equals(
                bytes, start, start + DONE_EVENT.length, DONE_EVENT, 0, DONE_EVENT.length);
    if (isDoneEvent) {
      done = true;
    } else if (bytes[start] != ':') {
      // An event that starts with a colon is a comment and carries no token.
      tokenCount++;
    }
    return end;
  }

  private static byte[] concat(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    ByteArrayOutputStream joined = new ByteArrayOutputStream(first.length + second.length);
    joined.writeBytes(first);
    joined.writeBytes(second);
    return joined.toByteArray();
  }
}
