package org.apricotstand.http;

import java.util.Map;

/**
 * The answering side of one received request. Methods may be called from any thread; calls after
 * the end or after the caller went away have no effect.
 *
 * <pre>{@code
 * exchange.begin(200, Map.of("content-type", "text/event-stream"));
 * exchange.write(bytes);
 * exchange.end();
 * }</pre>
 */
public interface HttpExchange {

  /** Returns the request. */
  HttpRequest request();

  /** Sends a whole answer. */
  void respond(int status, Map<String, String> headers, byte[] body);

  /** Starts an answer whose body follows in parts. */
  void begin(int status, Map<String, String> headers);

  /** Sends a part of the body. */
  void write(byte[] part);

  /** Ends an answer that {@link #begin} started. */
  void end();

  /** Breaks the connection, so that the caller sees an answer that is not whole. */
  void abort();

  /** Returns whether parts are sent without growing a buffer beyond its limit. */
  boolean isWritable();

  /** Sets what runs, on a traffic thread, each time the answer becomes writable again. */
  void onWritable(Runnable listener);

  /** Sets what runs, on a traffic thread, when the connection closes before the end. */
  void onClosed(Runnable listener);

  /** Sends a whole answer of JSON text. */
  default void respondJson(int status, String json) {
    respond(
        status,
        Map.of("content-type", "application/json"),
        json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }
}
