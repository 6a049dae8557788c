package org.apricotstand.owner;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream that breaks off can
 * be resumed after the last whole event.
 *
 * <pre>{@code
 * byte[] whole = framer.feed(part); // may be empty
 * long next = framer.tokenCount();  // index of the token to resume from
 * }</pre>
 */
final class EventFramer {

  private static final byte[] DONE = {'d', 'a', 't', 'a', ':', ' ', '[', 'D', 'O', 'N', 'E', ']'};
  private static final byte[] NOTHING = new byte[0];

  private byte[] rest = NOTHING;
  private long tokenCount;
  private boolean done;

  /** Takes a part of the stream and returns the events that it completes. */
  byte[] feed(byte[] part) {
    byte[] joined = join(rest, part);
    int end = 0;
    for (int i = 1; i < joined.length; i++) {
      if (joined[i] == '\n' && joined[i - 1] == '\n' && i > end) {
        count(joined, end);
        end = i + 1;
      }
    }
    rest = Arrays.copyOfRange(joined, end, joined.length);
    return Arrays.copyOf(joined, end);
  }

  /** Drops the incomplete event at the end; the resumed stream sends it again. */
  void dropIncomplete() {
    rest = NOTHING;
  }

  /** Returns the number of whole events that carry a token. */
  long tokenCount() {
    return tokenCount;
  }

  /** Returns whether the event that ends an answer arrived. */
  boolean isDone() {
    return done;
  }

  private void count(byte[] bytes, int start) {
    boolean isEnd =
        bytes.length >= start + DONE.length
            && Arrays.equals(bytes, start, start + DONE.length, DONE, 0, DONE.length);
    if (isEnd) {
      done = true;
    } else if (bytes[start] != ':') {
      // An event that starts with a colon is a comment and carries no token.
      tokenCount++;
    }
  }

  private static byte[] join(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    ByteArrayOutputStream joined = new ByteArrayOutputStream(first.length + second.length);
    joined.writeBytes(first);
    joined.writeBytes(second);
    return joined.toByteArray();
  }
}
