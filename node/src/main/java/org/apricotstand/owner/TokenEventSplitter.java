package org.apricotstand.owner;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.apricotstand.sse.EventCollector;

/**
 * Splits a stream of server-sent events into whole events and counts those that carry a token, so
 * that a broken stream can be resumed after the last whole event.
 *
 * <pre>{@code
 * byte[] wholeEvents = splitter.feed(part); // may be empty
 * long fromToken = splitter.tokenCount();   // index of the token to resume from
 * }</pre>
 */
final class TokenEventSplitter implements EventCollector.EventListener {

  /** Much more than an event with one token; a longer one has no end. */
  static final int MAX_EVENT_BYTES = 65_536;

  private static final String DONE_EVENT = "data: [DONE]";

  private final EventCollector events = new EventCollector(this);
  private String firstLine = "";
  private long tokenCount;
  private boolean done;
  private boolean foreign;

  /**
   * Adds a part of the stream and returns all events that it completes, unchanged, up to bytes that
   * are no event.
   */
  byte[] feed(byte[] part) {
    ByteBuf wholeEvents = events.feed(Unpooled.wrappedBuffer(part));
    byte[] bytes = ByteBufUtil.getBytes(wholeEvents);
    wholeEvents.release();
    return bytes;
  }

  /** Discards the incomplete event at the end, since the resumed stream sends it again. */
  void dropIncomplete() {
    firstLine = "";
    events.takeIncomplete();
  }

  /** Returns the number of whole events so far that carry a token. */
  long tokenCount() {
    return tokenCount;
  }

  /** Returns whether the stream holds bytes that are no event, such as the head of an error. */
  boolean hasForeignEvent() {
    return foreign;
  }

  /** Returns whether an event is longer than any event of a sound engine. */
  boolean hasOverlongEvent() {
    return events.incompleteBytes() > MAX_EVENT_BYTES;
  }

  /** Returns whether the final event of the answer, {@code [DONE]}, has arrived. */
  boolean isDone() {
    return done;
  }

  @Override
  public void onLine(String start, boolean isWhole) {
    if (firstLine.isEmpty()) {
      firstLine = start;
    }
  }

  /** Counts an event, unless it is none. */
  @Override
  public boolean onEventEnd() {
    String first = firstLine;
    firstLine = "";
    if (first.isEmpty()) {
      return true;
    }
    foreign = !isEventStart(first.charAt(0));
    if (!foreign) {
      count(first);
    }
    return !foreign;
  }

  /** Returns whether an event can begin so: with a comment or a field name. */
  private static boolean isEventStart(char first) {
    return first == ':' || (first >= 'a' && first <= 'z');
  }

  private void count(String first) {
    if (first.startsWith(DONE_EVENT)) {
      done = true;
    } else if (first.charAt(0) != ':') {
      // An event that starts with a colon is a comment and carries no token.
      tokenCount++;
    }
  }
}
