package org.apricotstand.request;

import io.netty.buffer.ByteBuf;

/**
 * Tracks whether a stream of server-sent events is inside an event, from the bytes that have
 * passed, and whether all its lines are fields or comments. An empty line ends an event.
 */
final class EventBoundary {

  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte LINE_FEED = '\n';

  private static final byte COLON = ':';
  private static final int BYTE_ORDER_MARK_BYTES = 3;

  private long passedBytes;
  private boolean insideName = true;
  private boolean foreign;
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
    passedBytes++;
    recordName(next);
    if (next == LINE_FEED) {
      insideEvent = insideEvent && !lineEmpty;
      lineEmpty = true;
    } else if (next != CARRIAGE_RETURN) {
      insideEvent = true;
      lineEmpty = false;
    }
  }

  /** Checks the part of a line before its colon, which holds the name of a field. */
  private void recordName(byte next) {
    if (next == LINE_FEED) {
      insideName = true;
    } else if (next == COLON) {
      insideName = false;
    } else if (insideName && next != CARRIAGE_RETURN) {
      foreign = foreign || !(isNameByte(next) || isByteOrderMark(next));
    }
  }

  private static boolean isNameByte(byte next) {
    return (next >= 'a' && next <= 'z')
        || (next >= '0' && next <= '9')
        || next == '-'
        || next == '_';
  }

  /** Returns whether the byte can belong to the mark with which a stream may begin. */
  private boolean isByteOrderMark(byte next) {
    return next < 0 && passedBytes <= BYTE_ORDER_MARK_BYTES;
  }

  /**
   * Returns whether a line is no part of an event, such as the head of an answer or the text of an
   * error. Names of fields consist of lower-case letters, digits and hyphens.
   */
  boolean hasForeignLine() {
    return foreign;
  }

  /** Returns whether the event that began last has not ended. */
  boolean isInsideEvent() {
    return insideEvent;
  }

  /** Returns whether no byte has passed. */
  boolean isEmpty() {
    return passedBytes == 0;
  }
}
