package org.apricotstand.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.apricotstand.front.ByteCollector;
import org.apricotstand.port.AnswerLimits;

/** The body of one answer of a target: decides which bytes are kept, passed on, or dropped. */
final class AnswerBody {

  /** What happens to the bytes of a body. */
  enum Use {
    /** They are dropped, since the answer is not for the caller. */
    DISCARD,
    /** They are kept until the answer is complete. */
    BUFFER,
    /** Like BUFFER, for a stream of events. */
    BUFFER_EVENTS,
    /** They are passed on as they arrive, or event by event if the stream may be resumed. */
    STREAM,
    /** Like STREAM, but only as long as they form events. */
    EVENTS
  }

  private final AnswerLimits limits;
  private final EventSplitter eventSplitter;
  private final EventBoundary eventBoundary = new EventBoundary();
  private final ByteCollector buffered = new ByteCollector();
  private int discardedBytes;

  /**
   * Creates an empty body.
   *
   * @param eventSplitter splits the stream that the caller gets; null if it cannot be resumed
   */
  AnswerBody(AnswerLimits limits, EventSplitter eventSplitter) {
    this.limits = limits;
    this.eventSplitter = eventSplitter;
  }

  /** Adds a part and returns a new buffer with the bytes that are passed on now. */
  ByteBuf add(ByteBuf part, Use use) {
    return switch (use) {
      case DISCARD -> {
        discardedBytes += part.readableBytes();
        yield Unpooled.EMPTY_BUFFER;
      }
      case BUFFER -> {
        buffered.add(part);
        yield Unpooled.EMPTY_BUFFER;
      }
      case BUFFER_EVENTS -> {
        eventBoundary.feed(part);
        buffered.add(part);
        yield Unpooled.EMPTY_BUFFER;
      }
      case STREAM -> {
        eventBoundary.feed(part);
        yield passOn(part);
      }
      case EVENTS -> {
        eventBoundary.feed(part);
        yield eventBoundary.hasForeignLine() ? Unpooled.EMPTY_BUFFER : passOn(part);
      }
    };
  }

  private ByteBuf passOn(ByteBuf part) {
    return eventSplitter == null ? part.retainedSlice() : eventSplitter.feed(part);
  }

  /** Returns whether a stream of events holds something else. */
  boolean hasForeignLine() {
    return eventBoundary.hasForeignLine();
  }

  /** Requires that the body goes on behind the last whole event that the caller has. */
  void beginContinuation() {
    eventSplitter.beginContinuation();
  }

  /** Returns whether an event does not continue the stream that the caller has. */
  boolean isDiscontinued() {
    return eventSplitter != null && eventSplitter.isDiscontinued();
  }

  /** Returns whether a body that ends here adds whole events to those that the caller has. */
  boolean isContinuation() {
    return eventSplitter.hasContinued() && !eventBoundary.isInsideEvent();
  }

  /** Removes and returns the bytes that were kept until the answer is complete. */
  ByteBuf takeRest() {
    ByteBuf incompleteEvent =
        eventSplitter == null ? Unpooled.EMPTY_BUFFER : eventSplitter.takeIncomplete();
    return Unpooled.wrappedBuffer(buffered.take(), incompleteEvent);
  }

  /** Returns the number of bytes that are kept. */
  int heldBytes() {
    return buffered.size() + incompleteEventBytes();
  }

  private int incompleteEventBytes() {
    return eventSplitter == null ? 0 : eventSplitter.incompleteBytes();
  }

  /** Returns whether more bytes are kept or were dropped than an answer may have. */
  boolean exceedsLimits() {
    return discardedBytes > limits.maxSkippedBytes()
        || buffered.size() > limits.maxHeldBytes()
        || incompleteEventBytes() > limits.maxHeldBytes();
  }

  /**
   * Returns whether a stream that ends here is incomplete: inside an event, or without any if only
   * its connection marks its end.
   */
  boolean isBrokenOff(boolean endedWithConnection) {
    return eventBoundary.isInsideEvent() || (endedWithConnection && eventBoundary.isEmpty());
  }
}
