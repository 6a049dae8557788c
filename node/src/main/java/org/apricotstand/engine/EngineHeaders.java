package org.apricotstand.engine;

/** Names of the HTTP headers that engines read and send. */
public final class EngineHeaders {

  /** Id of the request, equal for all attempts. */
  public static final String REQUEST_ID = "x-request-id";

  /** Number of the attempt, from 1. */
  public static final String ATTEMPT = "x-attempt";

  /** Fencing token of the owner; engines refuse tokens lower than the highest they have seen. */
  public static final String FENCING = "x-fencing";

  /** Request class, by which the engine prioritizes requests. */
  public static final String PRIORITY = "x-priority";

  /** Adapter version that ran the request, as ADAPTER@VERSION; set by the engine. */
  public static final String ADAPTER_VERSION = "x-adapter-version";

  /** Incarnation of the engine, which differs for each start; set by the engine. */
  public static final String ENGINE_INCARNATION = "x-engine-incarnation";

  /** W3C trace context. */
  public static final String TRACEPARENT = "traceparent";

  private EngineHeaders() {}
}
