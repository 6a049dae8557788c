package org.apricotstand.http;

/**
 * Limits of an HTTP server.
 *
 * @param maxHeaderBytes maximum size of all headers; larger ones are answered with status 431
 * @param maxBodyBytes maximum size of a request body; a larger one is answered with status 413
 * @param maxConnections maximum number of open connections; further ones are closed at once
 * @param idleTimeoutMs time without a request after which a connection is closed
 * @param requestReadTimeoutMs maximum time from the first byte of a request to its last; the
 *     connection is then closed after the answers to the requests before, so that slow senders
 *     cannot occupy connections
 */
public record HttpLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxConnections,
    long idleTimeoutMs,
    long requestReadTimeoutMs) {

  /** Limits for servers whose settings name none. */
  public static final HttpLimits DEFAULT = new HttpLimits(16_384, 4_194_304, 4_096, 60_000, 30_000);
}
