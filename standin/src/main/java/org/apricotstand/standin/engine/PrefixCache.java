package org.apricotstand.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Caches prompt blocks per adapter version with least-recently-used eviction, and publishes its
 * changes with a delay and with gaps. A block counts as cached only when all blocks before it are
 * cached too.
 */
final class PrefixCache {

  /** Number of characters in one block. */
  static final int BLOCK_CHARACTERS = 64;

  private static final int MAX_EVENTS = 10_000;

  private final int maxBlocks;
  private final long eventLagMs;
  private final double eventLossFraction;
  private final RandomGenerator random;
  private final LinkedHashMap<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> events = new ArrayDeque<>();
  private long nextEventNumber;

  /**
   * A change of the cache. Events are numbered without gaps, so a missing number is a lost event.
   */
  record Event(long number, String change, String block, long atMs) {}

  PrefixCache(EngineSettings.Behavior behavior, RandomGenerator random) {
    this.maxBlocks = behavior.cacheBlocks();
    this.eventLagMs = behavior.cacheEventLagMs();
    this.eventLossFraction = behavior.cacheEventLoss();
    this.random = random;
  }

  /** Caches all blocks of a prompt and returns how many of them have to be computed. */
  int insertPrompt(String adapterVersion, String prompt, long nowMs) {
    List<String> keys = blockKeys(adapterVersion, prompt);
    int missing = 0;
    for (String key : keys) {
      boolean cached = missing == 0 && blocks.get(key) != null;
      if (!cached) {
        missing++;
        blocks.put(key, true);
        recordEvent("stored", key, nowMs);
      }
    }
    evict(nowMs);
    return missing;
  }

  /** Returns the events from the given number on that are old enough to be published. */
  List<Event> publishedEvents(long firstNumber, long nowMs) {
    return events.stream()
        .filter(event -> event.number() >= firstNumber)
        .filter(event -> event.atMs() + eventLagMs <= nowMs)
        .toList();
  }

  private void evict(long nowMs) {
    Iterator<Map.Entry<String, Boolean>> eldest = blocks.entrySet().iterator();
    while (blocks.size() > maxBlocks) {
      String key = eldest.next().getKey();
      eldest.remove();
      recordEvent("evicted", key, nowMs);
    }
  }

  private void recordEvent(String change, String key, long nowMs) {
    long number = nextEventNumber++;
    if (random.nextDouble() >= eventLossFraction) {
      events.add(new Event(number, change, key, nowMs));
    }
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  private static List<String> blockKeys(String adapterVersion, String prompt) {
    List<String> keys = new ArrayList<>();
    int hash = adapterVersion.hashCode();
    for (int start = 0; start < prompt.length(); start += BLOCK_CHARACTERS) {
      int end = Math.min(prompt.length(), start + BLOCK_CHARACTERS);
      hash = 31 * hash + prompt.substring(start, end).hashCode();
      keys.add(adapterVersion + "#" + (start / BLOCK_CHARACTERS) + "#" + Integer.toHexString(hash));
    }
    return keys;
  }
}
