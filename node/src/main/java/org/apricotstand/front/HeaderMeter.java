package org.apricotstand.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import org.apricotstand.limit.MemoryBudget;

/**
 * Counts the memory of the header lines that a decoder adds to heads and trailers, also of those
 * that have not ended. A line of five bytes takes forty times its length.
 */
final class HeaderMeter {

  private final HttpHeadersFactory heads = factory(DefaultHttpHeadersFactory.headersFactory());
  private final HttpHeadersFactory trailers = factory(DefaultHttpHeadersFactory.trailersFactory());
  private long heldBytes;
  private int longestLineBytes;

  private final class MeteredHeaders extends DefaultHttpHeaders {

    MeteredHeaders(DefaultHttpHeadersFactory validation) {
      super(validation.getNameValidator(), validation.getValueValidator());
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      int lineBytes = MemoryBudget.headerLineBytes(name, value.toString());
      heldBytes += lineBytes;
      longestLineBytes = Math.max(longestLineBytes, lineBytes);
      return super.add(name, value);
    }
  }

  private HttpHeadersFactory factory(DefaultHttpHeadersFactory validation) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new MeteredHeaders(validation);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return new MeteredHeaders(validation);
      }
    };
  }

  /** Returns the factory of the headers of heads. */
  HttpHeadersFactory heads() {
    return heads;
  }

  /** Returns the factory of the headers of trailers. */
  HttpHeadersFactory trailers() {
    return trailers;
  }

  /** Returns the memory of the lines that were added since the last reset. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns the memory of the longest line that was ever added. */
  int longestLineBytes() {
    return longestLineBytes;
  }

  /** Forgets the lines, which belong to a request that is accounted for elsewhere. */
  void reset() {
    heldBytes = 0;
  }
}
