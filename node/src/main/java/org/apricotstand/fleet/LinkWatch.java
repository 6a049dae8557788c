package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds links that no longer answer. A message to an owner is answered within {@link
 * #ANSWER_TIMEOUT_MS} by any message, if only a heartbeat; a link without an answer is closed, and
 * the next message opens a new one. Without this, messages on a link that went silent without a
 * reset would be lost for minutes. Not thread-safe; used on the control thread only.
 */
final class LinkWatch {

  static final long ANSWER_TIMEOUT_MS = 1_500;

  /** Time without a message to a peer after which its next message is answered by a heartbeat. */
  static final long HEARTBEAT_GAP_MS = 300;

  private final Map<String, Long> answerDueMs = new HashMap<>();
  private final Map<String, Long> lastSentMs = new HashMap<>();

  void recordSent(String peer, long nowMs) {
    lastSentMs.put(peer, nowMs);
    answerDueMs.putIfAbsent(peer, nowMs + ANSWER_TIMEOUT_MS);
  }

  void recordHeard(String peer) {
    answerDueMs.remove(peer);
  }

  /** Returns whether a message of the peer has to be answered by a heartbeat, and records it. */
  boolean needsHeartbeat(String peer, long nowMs) {
    boolean needed = nowMs - lastSentMs.getOrDefault(peer, Long.MIN_VALUE / 2) >= HEARTBEAT_GAP_MS;
    if (needed) {
      lastSentMs.put(peer, nowMs);
    }
    return needed;
  }

  /** Gives all peers a longer time, because this instance was delayed itself. */
  void extend(long delayMs) {
    answerDueMs.replaceAll((peer, atMs) -> atMs + delayMs);
  }

  /** Removes and returns the peers whose answer is overdue. */
  List<String> takeSilent(long nowMs) {
    List<String> silent = DueKeys.take(answerDueMs, nowMs);
    lastSentMs.keySet().removeAll(silent);
    return silent;
  }
}
