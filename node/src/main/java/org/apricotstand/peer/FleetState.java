package org.apricotstand.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.enginelease.LeaseStatus;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.quota.TenantUse;

/**
 * Content of an entry of the fleet's state. The type names in the annotation and the names of the
 * components are part of the protocol.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = FleetState.InstanceStatus.class, name = "instance"),
  @JsonSubTypes.Type(value = FleetState.RelayedInstances.class, name = "relayed"),
  @JsonSubTypes.Type(value = FleetState.RelayedLoad.class, name = "load"),
  @JsonSubTypes.Type(value = FleetState.EngineHoldings.class, name = "holdings"),
  @JsonSubTypes.Type(value = FleetState.TargetCrash.class, name = "crash"),
  @JsonSubTypes.Type(value = FleetState.TraitAnswered.class, name = "answered"),
  @JsonSubTypes.Type(value = FleetState.TraitRefused.class, name = "refused"),
  @JsonSubTypes.Type(value = FleetState.TargetLimit.class, name = "limit"),
  @JsonSubTypes.Type(value = FleetState.TargetLimitEnd.class, name = "unlimited"),
  @JsonSubTypes.Type(value = FleetState.TableRow.class, name = "row")
})
public sealed interface FleetState {

  /**
   * What an instance says of itself; changes with its leases.
   *
   * @param leaving whether it is shutting down
   * @param leases all engine leases that it holds, by engine id
   */
  record InstanceStatus(String instance, boolean leaving, Map<String, LeaseStatus> leases)
      implements FleetState {

    /** Returns whether another status differs in more than the time until leases expire. */
    public boolean differsFrom(InstanceStatus other) {
      return leaving != other.leaving || !leaseStates().equals(other.leaseStates());
    }

    private Map<String, LeaseState> leaseStates() {
      Map<String, LeaseState> states = new HashMap<>();
      leases.forEach(
          (engine, lease) ->
              states.put(engine, new LeaseState(lease.rowVersion(), lease.hasExpired())));
      return states;
    }

    private record LeaseState(StoreVersion rowVersion, boolean hasExpired) {}
  }

  /**
   * The instances that a relay hears from, which are therefore alive.
   *
   * @param relay name of the relay
   * @param instances names of these instances, including the relay
   */
  record RelayedInstances(String relay, List<String> instances) implements FleetState {}

  /**
   * The requests of all instances that report to a relay. Each new version shows that the relay is
   * alive.
   *
   * @param relay name of the relay
   * @param started number of requests whose answer has begun, by target id
   * @param waiting number of requests whose answer has not begun, by target id
   * @param arrivals number of requests since the last version, by adapter
   * @param tenants demand and use by tenant with a limit; left out if empty, as by instances of
   *     earlier versions
   * @param scope hash of the relays that this relay hears, where tenants have limits; otherwise 0
   *     and left out
   * @param times answers of targets since the last version, by target id; left out if empty
   */
  record RelayedLoad(
      String relay,
      Map<String, Integer> started,
      Map<String, Integer> waiting,
      Map<String, Integer> arrivals,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, TenantUse> tenants,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) long scope,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, AnswerTimes> times)
      implements FleetState {

    /** Creates the load at a relay. */
    public RelayedLoad {
      tenants = tenants == null ? Map.of() : tenants;
      times = times == null ? Map.of() : times;
    }
  }

  /**
   * The adapters of an engine, as known to its owner.
   *
   * @param engine id of the engine
   * @param resident versions of the resident adapters, by {@code MODEL/ADAPTER}
   * @param arriving models and adapters whose load is in progress
   * @param queuedLoads number of adapters that requests wait for and whose load has not begun
   */
  record EngineHoldings(
      String engine, Map<String, Long> resident, List<String> arriving, int queuedLoads)
      implements FleetState {}

  /**
   * A target crashed.
   *
   * @param target incarnation of the target
   * @param requestsByTrait number of requests of the reporting instance that the target had not
   *     begun to answer, by encoded trait
   */
  record TargetCrash(String target, Map<String, Integer> requestsByTrait) implements FleetState {}

  /**
   * A target answered a request with a trait that was suspected of crashing targets.
   *
   * @param trait encoded trait
   */
  record TraitAnswered(String trait) implements FleetState {}

  /**
   * Requests with a trait are refused, since they crash targets.
   *
   * @param trait encoded trait
   * @param remainingMs time for which they were still refused when this was published
   */
  record TraitRefused(String trait, long remainingMs) implements FleetState {}

  /**
   * A target limits the requests of all instances together.
   *
   * @param target incarnation of the target
   * @param perSecond requests a second
   */
  record TargetLimit(String target, double perSecond) implements FleetState {}

  /**
   * A target limits requests no more.
   *
   * @param target incarnation of the target
   */
  record TargetLimitEnd(String target) implements FleetState {}

  /**
   * A row that an instance read from the store.
   *
   * @param table table of the row
   * @param rowKey key within the table
   * @param value content; empty if the row was removed
   * @param version version of the row
   * @param removed whether the row no longer exists
   */
  record TableRow(String table, String rowKey, byte[] value, StoreVersion version, boolean removed)
      implements FleetState {}
}
