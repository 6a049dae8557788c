package org.apricotstand.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** What operators may see of an instance, and the one thing they may ask of it. */
public interface InstanceView {

  /**
   * State of an instance.
   *
   * @param instance name
   * @param domain failure domain
   * @param incarnation number that is new at every start
   * @param ready whether it takes requests
   * @param draining whether it was asked to leave
   * @param revision revision in force, 0 for none
   * @param contentHash hash of its content
   * @param since when it came into force here, in ISO 8601, or empty
   * @param connectedPeers peers with an open link
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
   * @param target name
   * @param fencing fencing number under which it is owned
   * @param mayDispatch whether the lease allows to send requests
   * @param waiting requests in the queue
   * @param running requests in the batch
   * @param resident adapter versions in slots
   */
  record EngineStatus(
      String target,
      long fencing,
      boolean mayDispatch,
      int waiting,
      int running,
      List<String> resident) {}

  /**
   * Where an adapter version would be served.
   *
   * @param model name that was asked for
   * @param adapterVersion version that it stands for
   * @param route how the version was found
   * @param revision revision in force
   * @param requestClass priority class
   * @param pinned whether it is never evicted
   * @param replicas targets that should keep it loaded
   * @param candidates engines of its model, the preferred first
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
   * @param rank place by rendezvous hashing, from 1
   * @param target name
   * @param domain failure domain
   * @param owner owner as far as this instance knows, or empty
   * @param residency "resident", "absent", or "unknown" when another instance owns the engine
   * @param reason one sentence for people
   */
  record Candidate(
      int rank, String target, String domain, String owner, String residency, String reason) {}

  /** Returns whether the instance takes requests. */
  boolean isReady();

  /** Returns the state of the instance. */
  CompletableFuture<Status> status();

  /**
   * Explains where a model name would be served; fails with an IllegalArgumentException when it
   * names no adapter version.
   */
  CompletableFuture<Explanation> explain(String model);

  /** Starts to leave; repeated calls have no further effect. */
  void drain();
}
