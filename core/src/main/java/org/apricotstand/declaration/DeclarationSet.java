package org.apricotstand.declaration;

import java.util.List;
import java.util.Map;
import org.apricotstand.model.AdapterVersion;

/**
 * All declarations of one revision, applied as a whole.
 *
 * @param models base models
 * @param adapters adapters with their versions and routing
 * @param aliases additional names of adapters
 * @param services plain services
 * @param targets model engines and instances of plain services
 * @param policy limits and weights
 */
public record DeclarationSet(
    List<Model> models,
    List<Adapter> adapters,
    List<Alias> aliases,
    List<PlainService> services,
    List<Target> targets,
    Policy policy) {

  /** Replaces missing lists by empty ones and a missing policy by the default. */
  public DeclarationSet {
    models = models == null ? List.of() : List.copyOf(models);
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
    aliases = aliases == null ? List.of() : List.copyOf(aliases);
    services = services == null ? List.of() : List.copyOf(services);
    targets = targets == null ? List.of() : List.copyOf(targets);
    policy = policy == null ? Policy.DEFAULT : policy;
  }

  /** Returns a set without declarations. */
  public static DeclarationSet empty() {
    return new DeclarationSet(null, null, null, null, null, null);
  }

  /** A base model. */
  public record Model(String name) {}

  /**
   * An adapter of a base model.
   *
   * @param name name that callers use
   * @param model base model
   * @param versions versions that requests may name
   * @param route weights by which requests that name no version are distributed over the versions
   * @param requestClass priority class of its requests: interactive, standard or background
   * @param replicas smallest number of engines that should keep the adapter loaded
   * @param pinned whether the adapter is never evicted
   * @param shift gradual move of requests to one version, or null
   * @param stallWeight stall weight of its requests, or null to use that of the policy
   * @param maxInFlight largest number of its requests that one instance admits at once, or null for
   *     no limit
   */
  public record Adapter(
      String name,
      String model,
      List<String> versions,
      Map<String, Integer> route,
      String requestClass,
      Integer replicas,
      Boolean pinned,
      Shift shift,
      Double stallWeight,
      Integer maxInFlight) {

    /** Replaces missing values by their defaults. */
    public Adapter {
      versions = versions == null ? List.of() : List.copyOf(versions);
      route = route == null ? Map.of() : Map.copyOf(route);
      requestClass = requestClass == null ? "standard" : requestClass;
      replicas = replicas == null ? 1 : replicas;
      pinned = pinned != null && pinned;
    }

    /** Creates an adapter without a shift, a limit or its own stall weight. */
    public Adapter(
        String name,
        String model,
        List<String> versions,
        Map<String, Integer> route,
        String requestClass,
        Integer replicas,
        Boolean pinned) {
      this(name, model, versions, route, requestClass, replicas, pinned, null, null, null);
    }

    /** Returns the identifier of the given version of this adapter. */
    public AdapterVersion adapterVersion(String version) {
      return new AdapterVersion(name, version);
    }
  }

  /**
   * A gradual move of requests to one version. Increasing the percentage moves more requests to it
   * and none back.
   *
   * @param to version that receives the share
   * @param percent share in percent of the requests that name no version
   */
  public record Shift(String to, Double percent) {

    /** Replaces a missing percentage by 0. */
    public Shift {
      percent = percent == null ? 0.0 : percent;
    }
  }

  /** An additional name of an adapter. */
  public record Alias(String name, String adapter) {}

  /**
   * A plain service.
   *
   * @param name name of the service
   * @param path prefix of the request path that selects the service
   * @param repeatable whether a call is idempotent, so that it may be retried after a failure
   * @param identityHeader header that carries the idempotency key, or null
   * @param identityPointer JSON pointer to the idempotency key in the body, or null
   */
  public record PlainService(
      String name,
      String path,
      boolean repeatable,
      String identityHeader,
      String identityPointer) {}

  /**
   * A target: a model engine or an instance of a plain service.
   *
   * @param name name of the target
   * @param kind "engine" or "service"
   * @param serves base model of an engine, or name of a plain service
   * @param domain failure domain
   * @param address IP address and port
   * @param fencing "enforced" if the target rejects stale fencing tokens, else "ignored"
   * @param slots adapter slots of an engine
   * @param maxBatch largest number of sequences that an engine runs at once
   */
  public record Target(
      String name,
      String kind,
      String serves,
      String domain,
      String address,
      String fencing,
      int slots,
      int maxBatch) {

    /** Value of {@code kind} for a model engine. */
    public static final String ENGINE = "engine";

    /** Value of {@code kind} for an instance of a plain service. */
    public static final String SERVICE = "service";

    /** Returns whether the target is a model engine. */
    public boolean runsModel() {
      return ENGINE.equals(kind);
    }
  }

  /**
   * Limits and weights that apply to all instances.
   *
   * @param stallWeight weight from 0 to 1: with 1, placement avoids load stalls; with 0, it fills
   *     batches
   * @param loadsPerSecond largest rate of adapter loads from the weight store, over all instances
   * @param loadsInFlight largest number of adapter loads in flight, over all instances
   * @param requestTimeoutMs longest time that a request may take
   * @param leavingTimeMs time after which a target that the platform lists as leaving receives no
   *     new work
   * @param maxInProgressPerCaller largest number of requests in progress per caller at one instance
   * @param maxInProgressPerClass largest number of requests in progress per request class at one
   *     instance
   * @param retryBudgetRatio largest number of retries as a fraction of the requests
   */
  public record Policy(
      Double stallWeight,
      Double loadsPerSecond,
      Integer loadsInFlight,
      Long requestTimeoutMs,
      Long leavingTimeMs,
      Integer maxInProgressPerCaller,
      Integer maxInProgressPerClass,
      Double retryBudgetRatio) {

    /** Policy of a set that declares none. */
    public static final Policy DEFAULT = new Policy(null, null, null, null, null, null, null, null);

    /** Replaces missing values by their defaults. */
    public Policy {
      stallWeight = stallWeight == null ? 1.0 : stallWeight;
      loadsPerSecond = loadsPerSecond == null ? 2.0 : loadsPerSecond;
      loadsInFlight = loadsInFlight == null ? 8 : loadsInFlight;
      requestTimeoutMs = requestTimeoutMs == null ? 30_000 : requestTimeoutMs;
      leavingTimeMs = leavingTimeMs == null ? 3_000 : leavingTimeMs;
      maxInProgressPerCaller = maxInProgressPerCaller == null ? 512 : maxInProgressPerCaller;
      maxInProgressPerClass = maxInProgressPerClass == null ? 1_024 : maxInProgressPerClass;
      retryBudgetRatio = retryBudgetRatio == null ? 0.1 : retryBudgetRatio;
    }

    /** Creates a policy with default limits. */
    public Policy(
        double stallWeight, double loadsPerSecond, int loadsInFlight, long requestTimeoutMs) {
      this(stallWeight, loadsPerSecond, loadsInFlight, requestTimeoutMs, null, null, null, null);
    }
  }
}
