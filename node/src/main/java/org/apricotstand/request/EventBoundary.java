package org.apricotstand.request;

import io.netty.buffer.ByteBuf;

/**
 * Tracks whether a stream of server-sent events is inside an event, from the bytes that have
 * passed. An empty line ends an event.
 */
final class EventBoundary {

  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte LINE_FEED = '\n';

  private boolean empty = true;
  private boolean lineEmpty = true;
  private boolean insideEvent;

  /** Records the next bytes of the stream, which are not consumed. */
  void feed(ByteBuf part) {
    part.forEachByte(
        next -> {
          record(next);
          return true;
        });
  }

  private void record(byte next) {
    empty = false;
    if (next == LINE_FEED) {
      insideEvent = insideEvent && !lineEmpty;
      lineEmpty = true;
    } else if (next != CARRIAGE_RETURN) {
      insideEvent = true;
      lineEmpty = false;
    }
  }

  /** Returns whether the event that began last has not ended. */
  boolean isInsideEvent() {
    return insideEvent;
  }

  /** Returns whether no byte has passed. */
  boolean isEmpty() {
    return empty;
  }
}
