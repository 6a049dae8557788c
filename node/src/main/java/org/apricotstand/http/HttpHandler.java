package org.apricotstand.http;

/** Answers received requests; called on a traffic thread, must not block. */
@FunctionalInterface
public interface HttpHandler {

  /** Starts the answer to a request. */
  void handle(HttpExchange exchange);
}
