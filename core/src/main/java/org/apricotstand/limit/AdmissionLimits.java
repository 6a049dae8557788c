package org.apricotstand.limit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.RequestClass;

/**
 * Bounds the requests in progress at one instance, by caller and by class.
 *
 * <pre>{@code
 * Optional<String> refusal = limits.admit(caller, requestClass);
 * // later, once:
 * limits.release(caller, requestClass);
 * }</pre>
 */
public final class AdmissionLimits {

  /** Code of a refusal because of the caller's limit. */
  public static final String CALLER_LIMIT = "caller_limit";

  /** Code of a refusal because of the limit of the class. */
  public static final String CLASS_LIMIT = "class_limit";

  /**
   * Most requests in progress.
   *
   * @param perCaller of one caller
   * @param perClass of all callers, by class
   */
  public record Limits(int perCaller, Map<RequestClass, Integer> perClass) {

    /** Fits an instance with 40 MB of heap and bodies of a few kilobytes. */
    public static final Limits DEFAULT =
        new Limits(
            512,
            Map.of(
                RequestClass.INTERACTIVE, 1_024,
                RequestClass.STANDARD, 1_024,
                RequestClass.BACKGROUND, 512));
  }

  private Limits limits;
  private final Map<String, Integer> byCaller = new HashMap<>();
  private final Map<RequestClass, Integer> byClass = new EnumMap<>(RequestClass.class);

  /** Creates limits without requests in progress. */
  public AdmissionLimits(Limits limits) {
    this.limits = limits;
  }

  /** Replaces the limits; requests in progress beyond them go on. */
  public void limitTo(Limits changed) {
    limits = changed;
  }

  /** Counts a request in, or returns the code of the limit that refuses it. */
  public Optional<String> admit(String caller, RequestClass requestClass) {
    if (byCaller.getOrDefault(caller, 0) >= limits.perCaller()) {
      return Optional.of(CALLER_LIMIT);
    }
    int allowed = limits.perClass().getOrDefault(requestClass, Integer.MAX_VALUE);
    if (byClass.getOrDefault(requestClass, 0) >= allowed) {
      return Optional.of(CLASS_LIMIT);
    }
    byCaller.merge(caller, 1, Integer::sum);
    byClass.merge(requestClass, 1, Integer::sum);
    return Optional.empty();
  }

  /** Counts an admitted request out. */
  public void release(String caller, RequestClass requestClass) {
    byCaller.computeIfPresent(caller, (name, count) -> count == 1 ? null : count - 1);
    byClass.computeIfPresent(requestClass, (name, count) -> count - 1);
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return byClass.values().stream().mapToInt(Integer::intValue).sum();
  }
}
