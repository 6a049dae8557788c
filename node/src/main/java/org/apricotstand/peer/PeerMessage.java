package org.apricotstand.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.apricotstand.order.LeaseStanding;

/** A message between two instances. Every record is one message type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "heartbeat"),
  @JsonSubTypes.Type(value = PeerMessage.Route.class, name = "route"),
  @JsonSubTypes.Type(value = PeerMessage.RouteHead.class, name = "route_head"),
  @JsonSubTypes.Type(value = PeerMessage.RouteChunk.class, name = "route_chunk"),
  @JsonSubTypes.Type(value = PeerMessage.RouteEnd.class, name = "route_end"),
  @JsonSubTypes.Type(value = PeerMessage.RouteFailed.class, name = "route_failed"),
  @JsonSubTypes.Type(value = PeerMessage.RouteCancel.class, name = "route_cancel"),
  @JsonSubTypes.Type(value = PeerMessage.RouteCredit.class, name = "route_credit"),
  @JsonSubTypes.Type(value = PeerMessage.RevisionAnnounced.class, name = "revision_announced"),
  @JsonSubTypes.Type(value = PeerMessage.RevisionWanted.class, name = "revision_wanted"),
  @JsonSubTypes.Type(value = PeerMessage.RevisionContent.class, name = "revision_content"),
  @JsonSubTypes.Type(value = PeerMessage.PromiseWanted.class, name = "promise_wanted"),
  @JsonSubTypes.Type(value = PeerMessage.PromiseGiven.class, name = "promise_given"),
  @JsonSubTypes.Type(value = PeerMessage.HandoverOffered.class, name = "handover_offered"),
  @JsonSubTypes.Type(value = PeerMessage.HandoverTaken.class, name = "handover_taken"),
  @JsonSubTypes.Type(value = PeerMessage.HandoverDone.class, name = "handover_done"),
  @JsonSubTypes.Type(value = PeerMessage.TokensWanted.class, name = "tokens_wanted"),
  @JsonSubTypes.Type(value = PeerMessage.TokensLent.class, name = "tokens_lent"),
  @JsonSubTypes.Type(value = PeerMessage.SuspectNoted.class, name = "suspect_noted"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimWaited.class, name = "claim_waited"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimAnswered.class, name = "claim_answered"),
  @JsonSubTypes.Type(value = PeerMessage.LoadReport.class, name = "load_report"),
  @JsonSubTypes.Type(value = PeerMessage.AdapterWanted.class, name = "adapter_wanted"),
  @JsonSubTypes.Type(value = PeerMessage.AdapterMissing.class, name = "adapter_missing"),
  @JsonSubTypes.Type(value = PeerMessage.EngineHoldings.class, name = "engine_holdings"),
  @JsonSubTypes.Type(value = PeerMessage.CrashNoted.class, name = "crash_noted")
})
public sealed interface PeerMessage {

  /** Version of the protocol; instances of other versions are refused. */
  int PROTOCOL_VERSION = 1;

  /** First message on a link, in both directions. */
  record Hello(int protocolVersion, String instance, long incarnation, String domain)
      implements PeerMessage {}

  /**
   * Shows that the sender is alive; sent on links in use.
   *
   * @param leaving whether the sender is shutting down
   * @param sequence number of this heartbeat
   * @param echoed number of the last heartbeat received from the other side; shows it that its own
   *     messages arrive
   */
  record Heartbeat(boolean leaving, long sequence, long echoed) implements PeerMessage {}

  /**
   * Passes a model request to the owner of a target.
   *
   * @param requestId identifier of the request
   * @param attempt number of the attempt
   * @param target name of the engine
   * @param adapterVersion ADAPTER@VERSION
   * @param revision revision under which the request was admitted
   * @param remainingMs time left until its deadline
   * @param requestClass priority class
   * @param caller name of the caller
   * @param path path at the engine
   * @param traceparent W3C trace context
   * @param body body for the engine
   * @param creditBytes answer bytes that may be sent before a {@link RouteCredit}
   * @param alone whether it must run alone in the engine's batch, as a suspect does
   */
  record Route(
      String requestId,
      int attempt,
      String target,
      String adapterVersion,
      long revision,
      long remainingMs,
      String requestClass,
      String caller,
      String path,
      String traceparent,
      byte[] body,
      int creditBytes,
      boolean alone)
      implements PeerMessage {}

  /** Start of the answer to a {@link Route}. */
  record RouteHead(String requestId, int attempt, int status, Map<String, String> headers)
      implements PeerMessage {}

  /** Part of the answer. */
  record RouteChunk(String requestId, int attempt, byte[] part) implements PeerMessage {}

  /** End of a whole answer, with the load and residency of the target. */
  record RouteEnd(String requestId, int attempt, TargetLoad load) implements PeerMessage {}

  /**
   * End of a request without a whole answer.
   *
   * @param notRun whether no target ran it; otherwise its outcome is unknown
   */
  record RouteFailed(
      String requestId,
      int attempt,
      boolean notRun,
      String step,
      String peer,
      String code,
      String detail,
      TargetLoad load)
      implements PeerMessage {}

  /** The caller no longer wants the answer. */
  record RouteCancel(String requestId, int attempt) implements PeerMessage {}

  /** Allows further answer bytes. */
  record RouteCredit(String requestId, int attempt, int bytes) implements PeerMessage {}

  /**
   * Load of a target as its owner knows it.
   *
   * @param target name of the engine
   * @param waiting requests in the queue
   * @param running requests in the batch
   * @param resident adapter versions in slots
   */
  record TargetLoad(String target, int waiting, int running, List<String> resident) {}

  /** A revision is in force at the sender. */
  record RevisionAnnounced(long revision, String contentHash, String nonce)
      implements PeerMessage {}

  /** Asks for the content of a revision. */
  record RevisionWanted(long revision) implements PeerMessage {}

  /** Content of a revision. */
  record RevisionContent(long revision, String contentHash, String nonce, byte[] content)
      implements PeerMessage {}

  /** Asks the receiver not to take over targets of the sender's lease term for a time. */
  record PromiseWanted(long round, long incarnation, long term) implements PeerMessage {}

  /** Answers {@link PromiseWanted}. */
  record PromiseGiven(long round, boolean granted) implements PeerMessage {}

  /** Offers the ownership of a target to its next owner. */
  record HandoverOffered(String target, long fencing) implements PeerMessage {}

  /** The receiver of {@link HandoverOffered} owns the target now. */
  record HandoverTaken(String target, long fencing) implements PeerMessage {}

  /** The former owner runs no more requests on the target. */
  record HandoverDone(String target, long fencing) implements PeerMessage {}

  /** Asks for rights to start loads, in thousandths of the right to start one. */
  record TokensWanted(long round, int thousandths) implements PeerMessage {}

  /**
   * Lends rights to start loads, in thousandths; unused ones are void after the given time, counted
   * from when the borrower asked.
   */
  record TokensLent(long round, int thousandths, long validMs) implements PeerMessage {}

  /**
   * A request with this fingerprint was running when a target crashed, or is no longer suspected.
   *
   * @param target target that crashed, or empty
   * @param targetIncarnation incarnation that crashed, or 0
   * @param state "crashed" or "cleared"
   */
  record SuspectNoted(String fingerprint, String target, long targetIncarnation, String state)
      implements PeerMessage {}

  /**
   * Asks the holder of a claim for the ending of one attempt.
   *
   * @param waitId identifies the repeat that waits
   * @param claimKey key of the claim row
   * @param attemptNonce attempt that made the claim
   * @param remainingMs time that the repeat can wait
   */
  record ClaimWaited(String waitId, String claimKey, String attemptNonce, long remainingMs)
      implements PeerMessage {}

  /**
   * Answers {@link ClaimWaited}.
   *
   * @param state "answered", "not_run" or "unknown"
   */
  record ClaimAnswered(
      String waitId, String state, int status, Map<String, String> headers, byte[] body)
      implements PeerMessage {}

  /**
   * Says what the sender has at targets and which engines it owns; sent several times a second.
   *
   * @param started requests whose answer began, by target id
   * @param waiting requests whose answer has not begun, by target id
   * @param inUse adapters in use, by engine id
   * @param arrivals requests by adapter since the last report
   * @param leases all leases of engines that the sender holds, by engine id
   * @param leaving whether the sender shuts down
   */
  record LoadReport(
      Map<String, Integer> started,
      Map<String, Integer> waiting,
      Map<String, List<String>> inUse,
      Map<String, Integer> arrivals,
      Map<String, LeaseStanding> leases,
      boolean leaving)
      implements PeerMessage {}

  /**
   * Asks the owner of an engine to load an adapter.
   *
   * @param engine id of the engine
   * @param adapter {@code MODEL/ADAPTER}
   * @param version least version that serves
   * @param remainingMs time until the requests for it give up
   * @param onTimeRemainingMs time until a load has to begin so that one of them is answered in
   *     time; negative when it is over
   */
  record AdapterWanted(
      String engine, String adapter, long version, long remainingMs, long onTimeRemainingMs)
      implements PeerMessage {}

  /** Tells the owner of an engine that the engine does not hold what the owner said. */
  record AdapterMissing(String engine, String adapter) implements PeerMessage {}

  /**
   * Says what an engine holds, as its owner knows.
   *
   * @param engine id of the engine
   * @param resident versions by {@code MODEL/ADAPTER}
   * @param arriving adapters on their way
   * @param queuedLoads adapters that requests wait for and whose load has not begun
   */
  record EngineHoldings(
      String engine, Map<String, Long> resident, List<String> arriving, int queuedLoads)
      implements PeerMessage {}

  /**
   * Says that a target crashed while it ran a request.
   *
   * @param fingerprint what the sendings of the request have in common
   * @param target incarnation of the target
   */
  record CrashNoted(String fingerprint, String target) implements PeerMessage {}
}
