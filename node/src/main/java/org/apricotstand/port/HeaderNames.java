package org.apricotstand.port;

import java.util.Set;

/**
 * Names of the headers that callers, instances and targets exchange with each request.
 *
 * @param requestId identifies one sending of a request by its caller; targets echo it
 * @param deadlineMs time that the sender will wait for the answer, in milliseconds
 * @param model model or {@code MODEL/ADAPTER}
 * @param expectTarget id of the only target that may run the request
 * @param expectVersion the only version of the weights that the request may run on
 * @param urgency priority of the request in the queue of a target; 0 is served first
 * @param notExecuted present when the target did not run the request
 * @param signature present in every answer made by a target; an answer without it came from
 *     elsewhere
 * @param promptParts parts of the prompt, in order, as {@code ID:TOKENS} pairs; only the last one
 *     belongs to the request alone
 * @param rateLimit in an answer: requests a second that the target takes from all instances
 *     together, for as long as its answers say so
 * @param leaving in an answer: {@code 1} if the target leaves and wants no further requests
 * @param lastEventId id of the event after which an interrupted stream is resumed
 * @param tenant name of the tenant whose API key the caller sent
 * @param tokenCount tokens of the prompt and of the longest answer, two numbers
 * @param reserved names in lower case of headers that callers may not set
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
    String promptParts,
    String rateLimit,
    String leaving,
    String lastEventId,
    String tenant,
    String tokenCount,
    Set<String> reserved) {}
