package org.apricotstand.limit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.RequestClass;

/**
 * Limits the requests in progress at one instance, per caller, per class and per adapter.
 *
 * <pre>{@code
 * Request request = new Request(caller, requestClass, adapter);
 * Optional<String> refusal = admission.admit(request, limits);
 * // once, when the request has ended:
 * admission.release(request);
 * }</pre>
 */
public final class AdmissionLimits {

  /** Code of a refusal by the limit of a caller. */
  public static final String CALLER_LIMIT = "caller_limit";

  /** Code of a refusal by the limit of a request class. */
  public static final String CLASS_LIMIT = "class_limit";

  /** Code of a refusal by the limit of an adapter. */
  public static final String ADAPTER_LIMIT = "adapter_limit";

  /**
   * The properties of a request by which it is counted.
   *
   * @param adapter name of the adapter; empty when the request names none
   */
  public record Request(String caller, RequestClass requestClass, String adapter) {}

  /**
   * Maximum numbers of requests in progress.
   *
   * @param perCaller maximum for each caller
   * @param perClass maximum for each request class
   * @param perAdapter maximum for the adapter of the request
   */
  public record Limits(int perCaller, int perClass, int perAdapter) {}

  private final Map<String, Integer> inProgressByCaller = new HashMap<>();
  private final Map<RequestClass, Integer> inProgressByClass = new EnumMap<>(RequestClass.class);
  private final Map<String, Integer> inProgressByAdapter = new HashMap<>();

  /** Counts a request as in progress, or returns the code of the limit that refuses it. */
  public Optional<String> admit(Request request, Limits limits) {
    if (inProgressByCaller.getOrDefault(request.caller(), 0) >= limits.perCaller()) {
      return Optional.of(CALLER_LIMIT);
    }
    if (inProgressByClass.getOrDefault(request.requestClass(), 0) >= limits.perClass()) {
      return Optional.of(CLASS_LIMIT);
    }
    if (inProgressByAdapter.getOrDefault(request.adapter(), 0) >= limits.perAdapter()) {
      return Optional.of(ADAPTER_LIMIT);
    }
    inProgressByCaller.merge(request.caller(), 1, Integer::sum);
    inProgressByClass.merge(request.requestClass(), 1, Integer::sum);
    inProgressByAdapter.merge(request.adapter(), 1, Integer::sum);
    return Optional.empty();
  }

  /** Removes an admitted request that has ended from the counts; call it once per request. */
  public void release(Request request) {
    decrement(inProgressByCaller, request.caller());
    decrement(inProgressByClass, request.requestClass());
    decrement(inProgressByAdapter, request.adapter());
  }

  private static <K> void decrement(Map<K, Integer> counts, K key) {
    counts.computeIfPresent(key, (name, count) -> count == 1 ? null : count - 1);
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgressByClass.values().stream().mapToInt(Integer::intValue).sum();
  }
}
