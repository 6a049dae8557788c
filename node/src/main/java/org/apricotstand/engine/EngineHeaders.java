package org.apricotstand.engine;

/** Names of the headers that engines read and send. */
public final class EngineHeaders {

  /** Identifier of the request. */
  public static final String REQUEST_ID = "x-request-id";

  /** Number of the attempt, from 1. */
  public static final String ATTEMPT = "x-attempt";

  /** Fencing number of the owner. */
  public static final String FENCING = "x-fencing";

  /** Priority class. */
  public static final String PRIORITY = "x-priority";

  /** Adapter version that answers, as ADAPTER@VERSION. */
  public static final String ADAPTER_VERSION = "x-adapter-version";

  /** Incarnation of the engine that answers. */
  public static final String ENGINE_INCARNATION = "x-engine-incarnation";

  /** W3C trace context. */
  public static final String TRACEPARENT = "traceparent";

  private EngineHeaders() {}
}
