package org.apricotstand.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.quota.TenantUse;

/**
 * A message between two instances. Each record is one message type; the type names in the
 * annotation and the names of the components are part of the protocol.
 */
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
  @JsonSubTypes.Type(value = PeerMessage.MemberReport.class, name = "member_report"),
  @JsonSubTypes.Type(value = PeerMessage.ReportIncluded.class, name = "report_included"),
  @JsonSubTypes.Type(value = PeerMessage.StateUpdate.class, name = "state_update"),
  @JsonSubTypes.Type(value = PeerMessage.AdaptersInUse.class, name = "adapters_in_use"),
  @JsonSubTypes.Type(value = PeerMessage.TableRead.class, name = "table_read"),
  @JsonSubTypes.Type(value = PeerMessage.TableRegained.class, name = "table_regained"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigurationAsked.class, name = "config_asked"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigurationConfirmed.class, name = "config_confirmed"),
  @JsonSubTypes.Type(value = PeerMessage.QuotaWanted.class, name = "quota_wanted"),
  @JsonSubTypes.Type(value = PeerMessage.QuotaLent.class, name = "quota_lent"),
  @JsonSubTypes.Type(value = PeerMessage.AdapterWanted.class, name = "adapter_wanted"),
  @JsonSubTypes.Type(value = PeerMessage.AdapterMissing.class, name = "adapter_missing")
})
public sealed interface PeerMessage {

  /** Version of the protocol; connections of instances with another version are refused. */
  int PROTOCOL_VERSION = 3;

  /** Identifies the sender; the first message on each connection, in both directions. */
  record Hello(int protocolVersion, String instance, long incarnation, String domain)
      implements PeerMessage {}

  /**
   * Shows that the sender is alive. Sent on links in use.
   *
   * @param leaving whether the sender is shutting down
   * @param sequence number of this heartbeat
   * @param echoed number of the last heartbeat received from the receiver, which thereby learns
   *     that its messages arrive
   */
  record Heartbeat(boolean leaving, long sequence, long echoed) implements PeerMessage {}

  /**
   * Forwards a model request to the owner of an engine.
   *
   * @param requestId identifier of the request
   * @param attempt number of the attempt
   * @param target name of the engine
   * @param adapterVersion ADAPTER@VERSION
   * @param revision revision under which the request was admitted
   * @param remainingMs time left until the deadline of the request
   * @param requestClass priority class
   * @param caller name of the caller
   * @param path path of the request at the engine
   * @param traceparent W3C trace context
   * @param body body of the request to the engine
   * @param creditBytes answer bytes that the owner may send before it gets a {@link RouteCredit}
   * @param alone whether the request must run alone in the batch of the engine, because it is
   *     suspected of crashing engines
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

  /** Status and headers of the answer to a {@link Route}. */
  record RouteHead(String requestId, int attempt, int status, Map<String, String> headers)
      implements PeerMessage {}

  /** Part of the body of the answer to a {@link Route}. */
  record RouteChunk(String requestId, int attempt, byte[] part) implements PeerMessage {}

  /** End of a complete answer, with the load and the resident adapters of the engine. */
  record RouteEnd(String requestId, int attempt, TargetLoad load) implements PeerMessage {}

  /**
   * End of a request without a complete answer.
   *
   * @param notRun whether no engine ran the request; otherwise its outcome is unknown
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

  /** Cancels a {@link Route} whose answer is no longer needed. */
  record RouteCancel(String requestId, int attempt) implements PeerMessage {}

  /** Allows the owner to send that many more bytes of the answer. */
  record RouteCredit(String requestId, int attempt, int bytes) implements PeerMessage {}

  /**
   * Load of an engine as known to its owner.
   *
   * @param target name of the engine
   * @param waiting number of requests in the queue
   * @param running number of requests in the batch
   * @param resident adapter versions in the slots
   */
  record TargetLoad(String target, int waiting, int running, List<String> resident) {}

  /** Announces the active revision of the sender. */
  record RevisionAnnounced(long revision, String contentHash, String nonce)
      implements PeerMessage {}

  /** Requests the content of a revision. */
  record RevisionWanted(long revision) implements PeerMessage {}

  /** Answers {@link RevisionWanted} with the content of the revision. */
  record RevisionContent(long revision, String contentHash, String nonce, byte[] content)
      implements PeerMessage {}

  /**
   * Asks the receiver to promise that, for a time, it will not take over targets that the sender
   * owns under the given term of its lease.
   */
  record PromiseWanted(long round, long incarnation, long term) implements PeerMessage {}

  /** Answers {@link PromiseWanted}. */
  record PromiseGiven(long round, boolean granted) implements PeerMessage {}

  /** Offers the ownership of a target to its next owner. */
  record HandoverOffered(String target, long fencing) implements PeerMessage {}

  /** Confirms to the sender of {@link HandoverOffered} that the receiver now owns the target. */
  record HandoverTaken(String target, long fencing) implements PeerMessage {}

  /** Tells the new owner that the former owner has no more requests on the target. */
  record HandoverDone(String target, long fencing) implements PeerMessage {}

  /** Asks for tokens to start loads, in thousandths; a load takes one whole token. */
  record TokensWanted(long round, int thousandths) implements PeerMessage {}

  /**
   * Lends tokens to start loads, in thousandths. Unused ones expire {@code validMs} after the
   * borrower sent its {@link TokensWanted}.
   */
  record TokensLent(long round, int thousandths, long validMs) implements PeerMessage {}

  /**
   * Reports that a request with this fingerprint was running when a target crashed, or that it is
   * no longer suspected of crashing targets. In place of a fingerprint it may name a trait that
   * different requests share, such as their adapter.
   *
   * @param target name of the target that crashed, or empty
   * @param targetIncarnation incarnation of the target that crashed, or 0
   * @param state "crashed" or "cleared"
   */
  record SuspectNoted(String fingerprint, String target, long targetIncarnation, String state)
      implements PeerMessage {}

  /**
   * Asks the instance that holds a claim for the outcome of the claimed request.
   *
   * @param waitId identifier of the duplicate that waits
   * @param claimKey key of the claim row
   * @param attemptNonce nonce of the attempt that made the claim
   * @param remainingMs time that the duplicate can wait
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
   * Reports the requests of the sender to the instance that relays for it; sent several times a
   * second.
   *
   * @param sequence number of this report
   * @param started number of requests whose answer has begun, by target id
   * @param waiting number of requests whose answer has not begun, by target id
   * @param inUse adapters in use, by engine id
   * @param arrivals number of requests since the last report, by adapter
   * @param tenants demand and use by tenant with a limit; left out if empty, as by instances of
   *     earlier versions
   * @param settledLoans number up to which no {@link QuotaWanted} of the sender waits, so that
   *     their use is in {@code tenants}; left out before the first one
   * @param times answers of targets since the last report, by target id; left out if empty, as in
   *     fleets without relays
   */
  record MemberReport(
      long sequence,
      Map<String, Integer> started,
      Map<String, Integer> waiting,
      Map<String, List<String>> inUse,
      Map<String, Integer> arrivals,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, TenantUse> tenants,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) long settledLoans,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, AnswerTimes> times)
      implements PeerMessage {

    /** Creates a report. */
    public MemberReport {
      tenants = tenants == null ? Map.of() : tenants;
      times = times == null ? Map.of() : times;
    }
  }

  /**
   * Tells a member which of its reports the load published last by its relay includes.
   *
   * @param sequence number of the member's report
   */
  record ReportIncluded(long sequence) implements PeerMessage {}

  /**
   * Passes on entries of the fleet's state. Sent several times a second, also without entries, to
   * show that the sender is alive.
   *
   * @param requested whether the sender keeps this link and wants to get entries on it
   * @param entries entries that the receiver may not have yet
   */
  record StateUpdate(boolean requested, List<StateEntry> entries) implements PeerMessage {}

  /**
   * Reports to the owner of engines which adapters are in use there by the requests that the sender
   * relays for.
   *
   * @param inUse all adapters in use, by engine id; replaces the last message of the sender
   */
  record AdaptersInUse(Map<String, List<String>> inUse) implements PeerMessage {}

  /**
   * Tells a member that its relay has read a table; the rows that changed were sent before.
   *
   * @param table table that was read
   * @param fromVersion version since which the relay has passed on all changes
   * @param version newest version of the table
   */
  record TableRead(String table, StoreVersion fromVersion, StoreVersion version)
      implements PeerMessage {}

  /** Tells a member that its relay can read a table again after an outage of the store. */
  record TableRegained(String table) implements PeerMessage {}

  /**
   * Asks a relay how long ago it knew that its configuration was the newest.
   *
   * @param askedMs time of the sender's monotonic clock, which means nothing to the receiver
   */
  record ConfigurationAsked(long askedMs) implements PeerMessage {}

  /**
   * Answers {@link ConfigurationAsked}.
   *
   * @param askedMs time in the question
   * @param rowVersion version of the configuration's row in the store that was the newest
   * @param ageMs time since then
   */
  record ConfigurationConfirmed(long askedMs, StoreVersion rowVersion, long ageMs)
      implements PeerMessage {}

  /**
   * Asks the relay of the sender for credit for one request.
   *
   * @param number number of the request, ascending in a process
   * @param tenant tenant with a limit
   * @param amount cost of the request
   */
  record QuotaWanted(long number, String tenant, long amount) implements PeerMessage {}

  /**
   * Answers {@link QuotaWanted}.
   *
   * @param number number of the request
   * @param tenant tenant of the request
   * @param amount what is lent: the cost of the request, or 0
   */
  record QuotaLent(long number, String tenant, long amount) implements PeerMessage {}

  /**
   * Asks the owner of an engine to load an adapter.
   *
   * @param engine id of the engine
   * @param adapter {@code MODEL/ADAPTER}
   * @param version minimum version that serves the requests
   * @param remainingMs time until the last of the requests for the adapter stops waiting
   * @param onTimeRemainingMs time until the latest start of a load with which one of the requests
   *     is still answered in time; negative when it has passed
   */
  record AdapterWanted(
      String engine, String adapter, long version, long remainingMs, long onTimeRemainingMs)
      implements PeerMessage {}

  /** Tells the owner of an engine that an adapter that it reported as resident is not loaded. */
  record AdapterMissing(String engine, String adapter) implements PeerMessage {}
}
