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
 * Remembers prompt blocks per adapter version, in limited memory, and publishes its changes late
 * and with gaps. A block counts as cached only when all blocks before it are cached too.
 */
final class PrefixCache {

  /** Characters of one block. */
  static final int BLOCK_CHARACTERS = 64;

  private static final int MAX_PUBLISHED = 10_000;

  private final int maxBlocks;
  private final long eventLagMs;
  private final double eventLoss;
  private final RandomGenerator random;
  private final LinkedHashMap<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> events = new ArrayDeque<>();
  private long nextNumber;

  /** A published change; the numbers show the gaps. */
  record Event(long number, String change, String block, long atMs) {}

  PrefixCache(EngineSettings.Behavior behavior, RandomGenerator random) {
    this.maxBlocks = behavior.cacheBlocks();
    this.eventLagMs = behavior.cacheEventLagMs();
    this.eventLoss = behavior.cacheEventLoss();
    this.random = random;
  }

  /** Returns the blocks of a prompt that have to be computed, and remembers all of them. */
  int computeBlocks(String adapterVersion, String prompt, long nowMs) {
    List<String> keys = keys(adapterVersion, prompt);
    int missing = 0;
    for (String key : keys) {
      boolean cached = missing == 0 && blocks.get(key) != null;
      if (!cached) {
        missing++;
        blocks.put(key, true);
        record("stored", key, nowMs);
      }
    }
    evict(nowMs);
    return missing;
  }

  /** Returns the events from a number on that are old enough to be published. */
  List<Event> publishedFrom(long number, long nowMs) {
    return events.stream()
        .filter(event -> event.number() >= number)
        .filter(event -> event.atMs() + eventLagMs <= nowMs)
        .toList();
  }

  private void evict(long nowMs) {
    Iterator<Map.Entry<String, Boolean>> eldest = blocks.entrySet().iterator();
    while (blocks.size() > maxBlocks) {
      String key = eldest.next().getKey();
      eldest.remove();
      record("evicted", key, nowMs);
    }
  }

  private void record(String change, String key, long nowMs) {
    long number = nextNumber++;
    if (random.nextDouble() >= eventLoss) {
      events.add(new Event(number, change, key, nowMs));
    }
    if (events.size() > MAX_PUBLISHED) {
      events.removeFirst();
    }
  }

  private static List<String> keys(String adapterVersion, String prompt) {
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
