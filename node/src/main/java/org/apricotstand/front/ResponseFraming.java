package org.apricotstand.front;

import io.netty.handler.codec.http.HttpResponse;

/** Tells how the body of an HTTP response is delimited. */
public final class ResponseFraming {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /** Returns whether a response with this status has no body, whatever its headers say. */
  public static boolean isBodiless(HttpResponse response) {
    int status = response.status().code();
    return status == NO_CONTENT || status == NOT_MODIFIED;
  }
}
