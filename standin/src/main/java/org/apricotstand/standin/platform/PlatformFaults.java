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
 *       (the connection breaks, without effect) or {@code hang} (no answer, without effect)
 *   <li>{@code slow_ms}: delay of every answer
 *   <li>{@code lost_answers}: fraction of writes whose answer is lost after they took effect
 *   <li>{@code seed}: seed of the choice of lost answers
 *   <li>{@code scope}: names of the services concerned (tables, objects, instances, weights); all
 *       when empty
 * </ul>
 */
final class PlatformFaults {

  /** How requests fail. */
  enum Outage {
    NONE,
    REFUSE,
    ABORT,
    HANG
  }

  private final Set<String> scope = new HashSet<>();
  private Outage outage = Outage.NONE;
  private long slowMs;
  private double lostAnswers;
  private RandomGenerator random = new Well19937c(1);

  void apply(JsonNode change) {
    outage =
        Outage.valueOf(
            change.path("outage").asText(outage.name()).toUpperCase(java.util.Locale.ROOT));
    slowMs = change.path("slow_ms").asLong(slowMs);
    lostAnswers = change.path("lost_answers").asDouble(lostAnswers);
    if (change.has("seed")) {
      random = new Well19937c(change.path("seed").asLong());
    }
    if (change.has("scope")) {
      scope.clear();
      change.path("scope").forEach(name -> scope.add(name.asText()));
    }
  }

  Outage outage(String service) {
    return concerns(service) ? outage : Outage.NONE;
  }

  long slowMs(String service) {
    return concerns(service) ? slowMs : 0;
  }

  /** Returns whether the answer to this write is lost; draws a random number. */
  boolean takeLostAnswer(String service) {
    return concerns(service) && lostAnswers > 0 && random.nextDouble() < lostAnswers;
  }

  private boolean concerns(String service) {
    return scope.isEmpty() || scope.contains(service);
  }
}
