package org.apricotstand.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Faults that {@code POST /faults} sets. Fields that are absent keep their values:
 *
 * <ul>
 *   <li>{@code outage}: {@code none}, {@code refuse} (status 503, without effect), {@code abort}
 *       (the connection is closed, without effect) or {@code hang} (no answer, without effect)
 *   <li>{@code slow_ms}: delay of every request in milliseconds
 *   <li>{@code lost_answers}: fraction of writes whose answer is lost after they took effect
 *   <li>{@code seed}: seed of the random choice of lost answers
 *   <li>{@code scope}: names of the services that the faults apply to (tables, objects, instances,
 *       weights); all when empty
 * </ul>
 */
final class PlatformFaults {

  /** Ways in which requests fail. */
  enum Outage {
    NONE,
    REFUSE,
    ABORT,
    HANG
  }

  private final Set<String> scope = new HashSet<>();
  private Outage outage = Outage.NONE;
  private long delayMs;
  private double lostAnswerFraction;
  private RandomGenerator random = new Well19937c(1);

  void apply(JsonNode changes) {
    outage =
        Outage.valueOf(
            changes.path("outage").asText(outage.name()).toUpperCase(java.util.Locale.ROOT));
    delayMs = changes.path("slow_ms").asLong(delayMs);
    lostAnswerFraction = changes.path("lost_answers").asDouble(lostAnswerFraction);
    if (changes.has("seed")) {
      random = new Well19937c(changes.path("seed").asLong());
    }
    if (changes.has("scope")) {
      scope.clear();
      changes.path("scope").forEach(name -> scope.add(name.asText()));
    }
  }

  Outage outage(String service) {
    return isInScope(service) ? outage : Outage.NONE;
  }

  long delayMs(String service) {
    return isInScope(service) ? delayMs : 0;
  }

  /** Draws a random number and returns whether the answer to this write is lost. */
  boolean drawLostAnswer(String service) {
    return isInScope(service) && lostAnswerFraction > 0 && random.nextDouble() < lostAnswerFraction;
  }

  private boolean isInScope(String service) {
    return scope.isEmpty() || scope.contains(service);
  }
}
