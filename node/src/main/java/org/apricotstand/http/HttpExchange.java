package org.apricotstand.http;

import java.util.Map;

/**
 * A received request and the means to answer it. Methods may be called from any thread; calls after
 * the end of the answer or after the caller has disconnected have no effect.
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

  /** Sends the status and headers of an answer whose body follows in parts. */
  void begin(int status, Map<String, String> headers);

  /** Sends a part of the body. */
  void write(byte[] part);

  /** Ends an answer that {@link #begin} started. */
  void end();

  /** Resets the connection, so that the caller can tell that the answer is incomplete. */
  void abort();

  /** Returns whether the send buffer is below its limit. */
  boolean isWritable();

  /** Sets a listener that runs, on a traffic thread, each time the answer is writable again. */
  void setWritableListener(Runnable listener);

  /**
   * Sets a listener that runs, on a traffic thread, when the connection closes before the end of
   * the answer. It runs at once when the connection is already closed.
   */
  void setCloseListener(Runnable listener);

  /** Sends a whole answer with a JSON body. */
  default void respondJson(int status, String json) {
    respond(
        status,
        Map.of("content-type", "application/json"),
        json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }
}
