package org.apricotstand.sse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.apricotstand.front.ByteCollector;

/**
 * Collects a stream of server-sent events and returns whole events, unchanged. Each byte is looked
 * at once, however the stream is cut into parts: to search an incomplete event again with each part
 * takes time that grows with the square of its length.
 *
 * <pre>{@code
 * ByteBuf wholeEvents = collector.feed(part); // may be empty
 * }</pre>
 */
public final class EventCollector {

  /** Bytes of a line that listeners get; ids and the markers of streams are much shorter. */
  static final int MAX_LINE_BYTES = 512;

  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte LINE_FEED = '\n';

  private final EventListener listener;
  private final ByteCollector incomplete = new ByteCollector();
  private final byte[] line = new byte[MAX_LINE_BYTES];
  private int lineLength;
  private boolean isStopped;

  /** Is told of the lines of events and decides which events are returned. */
  public interface EventListener {

    /**
     * Called at the end of a line that is not empty.
     *
     * @param start the line, or its beginning if it is long
     * @param isWhole whether the start is the whole line
     */
    void onLine(String start, boolean isWhole);

    /**
     * Called at the end of an event, which may have no lines.
     *
     * @return whether the event is returned; if not, all that follows is dropped
     */
    boolean onEventEnd();
  }

  /** Creates an empty collector. */
  public EventCollector(EventListener listener) {
    this.listener = listener;
  }

  /** Adds a part, which is not changed, and returns a new buffer with the events it completes. */
  public ByteBuf feed(ByteBuf part) {
    int start = part.readerIndex();
    int end = start;
    for (int i = start; i < part.writerIndex() && !isStopped; i++) {
      if (endsEvent(part.getByte(i))) {
        if (listener.onEventEnd()) {
          end = i + 1;
        } else {
          isStopped = true;
        }
      }
    }
    if (isStopped && end == start) {
      incomplete.clear();
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = end == start ? Unpooled.EMPTY_BUFFER : takeUpTo(part, end);
    if (!isStopped) {
      incomplete.add(part.slice(end, part.writerIndex() - end));
    }
    return events;
  }

  /** Records the next byte and returns whether it ends an event. */
  private boolean endsEvent(byte next) {
    if (next != LINE_FEED) {
      if (lineLength < MAX_LINE_BYTES) {
        line[lineLength] = next;
      }
      lineLength++;
      return false;
    }
    boolean isWhole = lineLength <= MAX_LINE_BYTES;
    int length = isWhole ? lineLength : MAX_LINE_BYTES;
    lineLength = 0;
    if (isWhole && length > 0 && line[length - 1] == CARRIAGE_RETURN) {
      length--;
    }
    if (length == 0) {
      return true;
    }
    listener.onLine(new String(line, 0, length, StandardCharsets.UTF_8), isWhole);
    return false;
  }

  private ByteBuf takeUpTo(ByteBuf part, int end) {
    ByteBuf newest = part.retainedSlice(part.readerIndex(), end - part.readerIndex());
    return incomplete.size() == 0 ? newest : Unpooled.wrappedBuffer(incomplete.take(), newest);
  }

  /**
   * Removes and returns the bytes of the last event if its end has not arrived. What is added next
   * begins an event.
   */
  public ByteBuf takeIncomplete() {
    lineLength = 0;
    isStopped = false;
    return incomplete.take();
  }

  /** Returns the number of bytes that wait for the end of their event. */
  public int incompleteBytes() {
    return incomplete.size();
  }
}
