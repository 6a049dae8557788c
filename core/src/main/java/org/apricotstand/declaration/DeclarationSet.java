package org.apricotstand.declaration;

import java.util.List;
import java.util.Map;
import org.apricotstand.model.AdapterVersion;

/**
 * All declarations of one revision, applied as a whole.
 *
 * @param models base models
 * @param adapters adapters with their versions and routing intent
 * @param aliases further names of adapters
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
   * @param versions versions that may be asked for
   * @param route share of each version in requests that name no version, as weights
   * @param requestClass priority class of its requests: interactive, standard or background
   * @param replicas targets that should keep the adapter loaded at least
   * @param pinned whether it is never evicted
   * @param shift staged move of requests to a version, or null
   * @param stallWeight stall weight of its requests, or null for that of the policy
   * @param maxInFlight most requests of it that one instance admits at once, or null
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

    /** Creates an adapter without a shift, limits or a stall weight of its own. */
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

    /** Returns the given version of this adapter. */
    public AdapterVersion at(String version) {
      return new AdapterVersion(name, version);
    }
  }

  /**
   * A staged move of requests to a version. A greater percentage moves further requests and moves
   * none back.
   *
   * @param to version that takes the share
   * @param percent share in percent of the requests that name no version
   */
  public record Shift(String to, Double percent) {

    /** Replaces a missing percentage by 0. */
    public Shift {
      percent = percent == null ? 0.0 : percent;
    }
  }

  /** A further name of an adapter. */
  public record Alias(String name, String adapter) {}

  /**
   * A plain service.
   *
   * @param name name of the service
   * @param path prefix of the caller's path that selects it
   * @param repeatable whether a call may be sent again after a failure
   * @param identityHeader header that carries the request identity, or null
   * @param identityPointer JSON pointer to the request identity in the body, or null
   */
  public record PlainService(
      String name,
      String path,
      boolean repeatable,
      String identityHeader,
      String identityPointer) {}

  /**
   * A target.
   *
   * @param name name of the target
   * @param kind "engine" or "service"
   * @param serves base model of an engine, or name of a plain service
   * @param domain failure domain
   * @param address IP number and port
   * @param fencing "enforced" when the target refuses old fencing numbers, else "ignored"
   * @param slots adapter slots of an engine
   * @param maxBatch sequences that an engine runs at once
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

    /** Kind of a model engine. */
    public static final String ENGINE = "engine";

    /** Kind of an instance of a plain service. */
    public static final String SERVICE = "service";

    /** Whether the target is a model engine. */
    public boolean runsModel() {
      return ENGINE.equals(kind);
    }
  }

  /**
   * Limits and weights.
   *
   * @param stallWeight 0 to 1: 1 avoids load stalls, 0 fills batches
   * @param loadsPerSecond rate limit of the weight store, over all instances
   * @param loadsInFlight limit of loads in flight, over all instances
   * @param requestTimeoutMs longest time a request may take
   * @param leavingTimeMs time after which a target that the platform lists as leaving receives no
   *     new work
   * @param maxInProgressPerCaller most requests in progress of one caller at one instance
   * @param maxInProgressPerClass most requests in progress of one class at one instance
   * @param retryBudgetRatio retries as a fraction of traffic
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

    /** Used when a set declares no policy. */
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
