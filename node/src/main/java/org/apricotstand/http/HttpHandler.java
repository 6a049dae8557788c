package org.apricotstand.http;

/** Answers received requests. Called on a traffic thread, so it must not block. */
@FunctionalInterface
public interface HttpHandler {

  /** Handles a request; the answer may be sent later, from any thread. */
  void handle(HttpExchange exchange);
}
