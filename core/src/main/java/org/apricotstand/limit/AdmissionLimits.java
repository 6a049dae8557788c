package org.apricotstand.limit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.RequestClass;

/**
 * Bounds the requests in progress at one instance, by caller, by class and by adapter.
 *
 * <pre>{@code
 * Request request = new Request(caller, requestClass, adapter);
 * Optional<String> refusal = admission.admit(request, limits);
 * // later, once:
 * admission.release(request);
 * }</pre>
 */
public final class AdmissionLimits {

  /** Code of a refusal because of the caller's limit. */
  public static final String CALLER_LIMIT = "caller_limit";

  /** Code of a refusal because of the limit of the class. */
  public static final String CLASS_LIMIT = "class_limit";

  /** Code of a refusal because of the limit of the adapter. */
  public static final String ADAPTER_LIMIT = "adapter_limit";

  /**
   * What a request counts for.
   *
   * @param adapter name of the adapter, or empty
   */
  public record Request(String caller, RequestClass requestClass, String adapter) {}

  /**
   * Most requests in progress.
   *
   * @param perCaller of one caller
   * @param perClass of one class
   * @param ofAdapter of the adapter of the request
   */
  public record Limits(int perCaller, int perClass, int ofAdapter) {}

  private final Map<String, Integer> byCaller = new HashMap<>();
  private final Map<RequestClass, Integer> byClass = new EnumMap<>(RequestClass.class);
  private final Map<String, Integer> byAdapter = new HashMap<>();

  /** Counts a request in, or returns the code of the limit that refuses it. */
  public Optional<String> admit(Request request, Limits limits) {
    if (byCaller.getOrDefault(request.caller(), 0) >= limits.perCaller()) {
      return Optional.of(CALLER_LIMIT);
    }
    if (byClass.getOrDefault(request.requestClass(), 0) >= limits.perClass()) {
      return Optional.of(CLASS_LIMIT);
    }
    if (byAdapter.getOrDefault(request.adapter(), 0) >= limits.ofAdapter()) {
      return Optional.of(ADAPTER_LIMIT);
    }
    byCaller.merge(request.caller(), 1, Integer::sum);
    byClass.merge(request.requestClass(), 1, Integer::sum);
    byAdapter.merge(request.adapter(), 1, Integer::sum);
    return Optional.empty();
  }

  /** Counts an admitted request out. */
  public void release(Request request) {
    decrement(byCaller, request.caller());
    decrement(byClass, request.requestClass());
    decrement(byAdapter, request.adapter());
  }

  private static <K> void decrement(Map<K, Integer> counts, K key) {
    counts.computeIfPresent(key, (name, count) -> count == 1 ? null : count - 1);
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return byClass.values().stream().mapToInt(Integer::intValue).sum();
  }
}
