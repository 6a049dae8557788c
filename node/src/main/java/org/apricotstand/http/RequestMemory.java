package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;
import org.apricotstand.limit.MemoryBudget;
import org.apricotstand.limit.MemoryBudget.Kind;

/**
 * Accounts for the request that a connection is receiving: the lines of its head, also while the
 * head is incomplete, and its body.
 */
final class RequestMemory extends ChannelInboundHandlerAdapter implements HttpHeadersFactory {

  /** Objects and the unused rest of the read buffer behind each part of a body. */
  private static final int BODY_PART_BYTES = 512;

  /** Number of parts that {@link BodyCollector} keeps before it copies them into one. */
  static final int MAX_BODY_PARTS = 1_024;

  /** Change that is accounted for at once; smaller ones are at the end of each read. */
  private static final int UPDATE_BYTES = 8 * 1024;

  private final HttpMemory.Account account;
  private final int maxBodyBytes;
  private CountedHeaders headers;
  private long headBytes;
  private long bodyBytes;
  private long bodyParts;
  private long accountedBytes;
  private boolean isBodyArriving;
  private boolean isDiscarding;

  RequestMemory(HttpMemory.Account account, int maxBodyBytes) {
    this.account = account;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Returns the memory of a complete request. */
  static long sizeOf(HttpHeaders headers, long bodyBytes) {
    long bytes = bodyBytes;
    for (var lines = headers.iteratorCharSequence(); lines.hasNext(); ) {
      Map.Entry<CharSequence, CharSequence> line = lines.next();
      bytes += MemoryBudget.headerLineBytes(line.getKey(), line.getValue());
    }
    return bytes;
  }

  /** Returns whether a part of an incomplete request is held; none is of a refused one. */
  boolean isHolding() {
    return heldBytes() > 0;
  }

  /** Returns whether the head of the request has arrived, but not its end. */
  boolean isBodyArriving() {
    return isBodyArriving;
  }

  /** Releases the lines of the head and accounts for no further request. */
  void discard() {
    isDiscarding = true;
    if (headers != null) {
      headers.clear();
    }
    forgetRequest();
  }

  @Override
  public HttpHeaders newHeaders() {
    headers = new CountedHeaders();
    return headers;
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return newHeaders();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request) {
      isBodyArriving = true;
      if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
        bodyBytes = maxBodyBytes + 1L;
        accountForBody();
      }
    }
    if (message instanceof HttpContent content) {
      bodyBytes += content.content().readableBytes();
      bodyParts++;
      accountForBody();
    }
    if (message instanceof LastHttpContent) {
      forgetRequest();
    }
    context.fireChannelRead(message);
  }

  private void accountForBody() {
    if (bodyBytes > maxBodyBytes) {
      // The request is refused, and the rest of its body is discarded as it arrives.
      headBytes = 0;
      accountedBytes = 0;
      account.update(Kind.HEAD, 0);
      account.update(Kind.BODY, 0);
    } else if (heldBytes() - accountedBytes > UPDATE_BYTES) {
      account();
    }
  }

  private long heldBytes() {
    return headBytes + heldBodyBytes();
  }

  private long heldBodyBytes() {
    return bodyBytes == 0 || bodyBytes > maxBodyBytes
        ? 0
        : bodyBytes + Math.min(bodyParts, MAX_BODY_PARTS) * BODY_PART_BYTES;
  }

  private void account() {
    if (!isDiscarding) {
      accountedBytes = heldBytes();
      account.update(Kind.HEAD, headBytes);
      account.update(Kind.BODY, heldBodyBytes());
    }
  }

  private void forgetRequest() {
    boolean wasAccounted = accountedBytes > 0;
    headBytes = 0;
    bodyBytes = 0;
    bodyParts = 0;
    accountedBytes = 0;
    isBodyArriving = false;
    headers = null;
    if (wasAccounted) {
      account.update(Kind.HEAD, 0);
      account.update(Kind.BODY, 0);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (heldBytes() != accountedBytes) {
      account();
    }
    context.fireChannelReadComplete();
  }

  /** Headers that account for each line as the decoder adds it. */
  private final class CountedHeaders extends DefaultHttpHeaders {

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      if (isDiscarding) {
        return this;
      }
      super.add(name, value);
      headBytes += MemoryBudget.headerLineBytes(name, value.toString());
      if (heldBytes() - accountedBytes > UPDATE_BYTES) {
        account();
      }
      return this;
    }
  }
}
