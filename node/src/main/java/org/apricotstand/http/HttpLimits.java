package org.apricotstand.http;

/**
 * Limits of an HTTP server.
 *
 * @param maxHeaderBytes largest header block; beyond it the answer is 431
 * @param maxBodyBytes largest request body; beyond it the answer is 413
 * @param maxConnections most open connections; further ones are closed at once
 * @param idleMs longest pause between requests before the connection closes
 * @param requestMs longest time from the first byte of a request to its last; beyond it the
 *     connection closes, so that slow senders cannot hold connections
 */
public record HttpLimits(
    int maxHeaderBytes, int maxBodyBytes, int maxConnections, long idleMs, long requestMs) {

  /** Used when settings name no limits. */
  public static final HttpLimits DEFAULT = new HttpLimits(16_384, 4_194_304, 4_096, 60_000, 30_000);
}
