package org.apricotstand.standin.platform;

import java.util.Map;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpRequest;

/**
 * Exchange that closes the connection instead of sending an answer, so that the answer to a request
 * that took effect is lost.
 */
record AbortingExchange(HttpExchange exchange) implements HttpExchange {

  @Override
  public HttpRequest request() {
    return exchange.request();
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    exchange.abort();
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    exchange.abort();
  }

  @Override
  public void write(byte[] part) {
    exchange.abort();
  }

  @Override
  public void end() {
    exchange.abort();
  }

  @Override
  public void abort() {
    exchange.abort();
  }

  @Override
  public boolean isWritable() {
    return exchange.isWritable();
  }

  @Override
  public void setWritableListener(Runnable listener) {
    exchange.setWritableListener(listener);
  }

  @Override
  public void setCloseListener(Runnable listener) {
    exchange.setCloseListener(listener);
  }
}
