package org.apricotstand.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** State of an instance as operators see it, and the request to drain it. */
public interface InstanceView {

  /**
   * State of an instance.
   *
   * @param instance name of the instance
   * @param domain failure domain
   * @param incarnation number that differs with each start of the process
   * @param ready whether it accepts requests
   * @param draining whether it was asked to drain
   * @param revision number of the active revision, 0 for none
   * @param contentHash hash of the declarations in this revision
   * @param since time at which this instance activated the revision, in ISO 8601; empty if there is
   *     none
   * @param connectedPeers names of the peers with an open link
   * @param engines engines that this instance owns
   */
  record Status(
      String instance,
      String domain,
      long incarnation,
      boolean ready,
      boolean draining,
      long revision,
      String contentHash,
      String since,
      List<String> connectedPeers,
      List<EngineStatus> engines) {}

  /**
   * State of an owned engine.
   *
   * @param target name of the engine
   * @param fencing fencing token under which it is owned
   * @param mayDispatch whether the lease allows this instance to send requests to the engine
   * @param waiting number of requests in the queue
   * @param running number of requests in the batch
   * @param resident adapter versions that are loaded in slots
   */
  record EngineStatus(
      String target,
      long fencing,
      boolean mayDispatch,
      int waiting,
      int running,
      List<String> resident) {}

  /**
   * Describes where an adapter version would be served.
   *
   * @param model requested model name
   * @param adapterVersion adapter version that the name resolves to
   * @param route explanation of how the version was chosen, for people
   * @param revision number of the active revision
   * @param requestClass priority class
   * @param pinned whether the adapter is never evicted
   * @param replicas number of targets that should keep the adapter loaded
   * @param candidates engines that run its base model, in order of preference
   */
  record Explanation(
      String model,
      String adapterVersion,
      String route,
      long revision,
      String requestClass,
      boolean pinned,
      int replicas,
      List<Candidate> candidates) {}

  /**
   * An engine that may serve an adapter version.
   *
   * @param rank position by rendezvous hashing, starting at 1
   * @param target name of the engine
   * @param domain failure domain
   * @param owner name of the owning instance as known to this instance, or empty
   * @param residency "resident", "absent", or "unknown" when another instance owns the engine
   * @param reason explanation of the rank or of why it gets no requests, for people
   */
  record Candidate(
      int rank, String target, String domain, String owner, String residency, String reason) {}

  /** Returns whether the instance accepts requests. */
  boolean isReady();

  /** Returns the state of the instance. */
  CompletableFuture<Status> status();

  /**
   * Explains where requests for a model name would be served. The future fails with an
   * IllegalArgumentException if the name resolves to no adapter version.
   */
  CompletableFuture<Explanation> explain(String model);

  /** Starts to drain the instance; repeated calls have no further effect. */
  void drain();
}
