package org.apricotstand.request;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.apricotstand.sse.EventCollector;

/**
 * Splits a stream of server-sent events into whole events and keeps the id of the last whole event,
 * after which a broken stream can be resumed.
 *
 * <pre>{@code
 * ByteBuf wholeEvents = splitter.feed(part); // may be empty
 * String resumeAfter = splitter.lastEventId();
 * }</pre>
 */
final class EventSplitter implements EventCollector.EventListener {

  private static final String ID_FIELD = "id:";

  private static final String COMMENT = ":";

  private final EventCollector events = new EventCollector(this);
  private final EventIds ids = new EventIds();
  private Optional<String> id = Optional.empty();
  private boolean hasField;
  private boolean continuation;
  private boolean continued;
  private boolean discontinued;

  /**
   * Starts the answer of another target, which has to go on behind the last whole event: each of
   * its events needs an id that can follow.
   */
  void beginContinuation() {
    takeIncomplete();
    continuation = true;
    continued = false;
    discontinued = false;
  }

  /**
   * Adds a part of the stream and returns a new buffer with all events that it completes,
   * unchanged. Events behind one that does not continue the stream are dropped.
   */
  ByteBuf feed(ByteBuf part) {
    return events.feed(part);
  }

  /** Removes and returns the bytes of the last event if its end has not arrived. */
  ByteBuf takeIncomplete() {
    beginEvent();
    return events.takeIncomplete();
  }

  /** Returns the number of bytes that wait for the end of their event. */
  int incompleteBytes() {
    return events.incompleteBytes();
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

  @Override
  public void onLine(String start, boolean isWhole) {
    if (start.startsWith(COMMENT)) {
      return;
    }
    hasField = true;
    if (start.startsWith(ID_FIELD)) {
      // An id that is not known whole can't be sent to another target.
      id = isWhole ? Optional.of(start.substring(ID_FIELD.length()).trim()) : Optional.empty();
    }
  }

  /** Returns whether the event may follow those before it, and records it in this case. */
  @Override
  public boolean onEventEnd() {
    if (hasField) {
      if (continuation && !id.map(ids::canFollow).orElse(false)) {
        discontinued = true;
        return false;
      }
      ids.record(id);
      continued = true;
    }
    beginEvent();
    return true;
  }

  private void beginEvent() {
    id = Optional.empty();
    hasField = false;
  }
}
