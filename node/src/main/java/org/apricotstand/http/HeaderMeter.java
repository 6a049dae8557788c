package org.apricotstand.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.function.Supplier;
import org.apricotstand.limit.MemoryBudget;

/**
 * Counts the memory of the header lines that a decoder adds to heads and trailers, also of those
 * that have not ended. A line of five bytes takes forty times its length.
 *
 * <pre>{@code
 * HeaderMeter meter = new HeaderMeter(MAX_HEAD_BYTES, gate::recordHeaderLine);
 * config.setHeadersFactory(meter.heads()).setTrailersFactory(meter.droppedTrailers());
 * }</pre>
 */
public final class HeaderMeter {

  private final long maxHeldBytes;
  private final Runnable lineListener;
  private long heldBytes;
  private int longestLineBytes;

  /** Creates a meter without a limit. */
  public HeaderMeter() {
    this(Long.MAX_VALUE, () -> {});
  }

  /**
   * Creates a meter.
   *
   * @param maxHeldBytes memory of lines beyond which the decoder fails
   * @param lineListener is told of each line, also of those that are dropped
   */
  public HeaderMeter(long maxHeldBytes, Runnable lineListener) {
    this.maxHeldBytes = maxHeldBytes;
    this.lineListener = lineListener;
  }

  private final class MeteredHeaders extends DefaultHttpHeaders {

    MeteredHeaders(DefaultHttpHeadersFactory validation) {
      super(validation.getNameValidator(), validation.getValueValidator());
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      lineListener.run();
      int lineBytes = MemoryBudget.headerLineBytes(name, value.toString());
      heldBytes += lineBytes;
      longestLineBytes = Math.max(longestLineBytes, lineBytes);
      if (heldBytes > maxHeldBytes) {
        throw new TooLongHttpHeaderException("header lines take over " + maxHeldBytes + " bytes");
      }
      return super.add(name, value);
    }
  }

  private final class DroppedHeaders extends DefaultHttpHeaders {

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      lineListener.run();
      return this;
    }
  }

  /** Returns the factory of the headers of heads; each of them begins the count anew. */
  public HttpHeadersFactory heads() {
    return factory(
        () -> {
          reset();
          return new MeteredHeaders(DefaultHttpHeadersFactory.headersFactory());
        });
  }

  /** Returns the factory of the headers of trailers. */
  public HttpHeadersFactory trailers() {
    return factory(() -> new MeteredHeaders(DefaultHttpHeadersFactory.trailersFactory()));
  }

  /** Returns a factory of trailers whose lines are not kept. */
  public HttpHeadersFactory droppedTrailers() {
    return factory(DroppedHeaders::new);
  }

  private static HttpHeadersFactory factory(Supplier<HttpHeaders> headers) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return headers.get();
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return headers.get();
      }
    };
  }

  /** Returns the memory of the lines that were added since the last reset. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the memory of the longest line that was ever added. */
  public int longestLineBytes() {
    return longestLineBytes;
  }

  /** Forgets the lines, which belong to a message that is accounted for elsewhere. */
  public void reset() {
    heldBytes = 0;
  }
}
