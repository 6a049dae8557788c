package org.apricotstand.port;

import java.util.Set;

/**
 * Names of the headers by which callers and targets say what a request is.
 *
 * @param requestId identifies one attempt of a caller; echoed by targets
 * @param deadlineMs time that the sender will wait
 * @param model model or {@code MODEL/ADAPTER}
 * @param expectTarget id of the target that may run the request
 * @param expectVersion version of the weights that may run the request
 * @param urgency 0 is served first
 * @param notExecuted present when the target did not run the request
 * @param signature present in every answer that a target made
 * @param lastEventId event after which a stream goes on
 * @param reserved headers that callers may not set
 */
public record HeaderNames(
    String requestId,
    String deadlineMs,
    String model,
    String expectTarget,
    String expectVersion,
    String urgency,
    String notExecuted,
    String signature,
    String lastEventId,
    Set<String> reserved) {}
