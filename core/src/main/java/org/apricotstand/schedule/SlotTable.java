package org.apricotstand.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;

/**
 * Adapter slots of one engine, as known to its owner. Each command has an id; the result of a
 * command changes a slot only while that command is the latest one for the slot.
 */
final class SlotTable {

  /** Maximum age of a state report; a report doesn't override a change within this time. */
  static final long MAX_REPORT_LAG_MS = 5_000;

  private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
  private final Map<AdapterVersion, Long> removalTimesMs = new HashMap<>();
  private long lastCommandId;
  private int capacity;
  private boolean quarantineActive;
  // Kept apart from the slots, so that an adapter that was removed and is loaded again stays in
  // quarantine: the former owner may not have noticed the removal.
  private final Set<AdapterVersion> quarantinedAdapters = new HashSet<>();

  Slot get(AdapterVersion adapterVersion) {
    return slots.get(adapterVersion);
  }

  Collection<Slot> all() {
    return slots.values();
  }

  boolean hasFreeSlot() {
    return slots.size() < capacity;
  }

  boolean isServing(AdapterVersion adapterVersion) {
    Slot slot = slots.get(adapterVersion);
    return slot != null && slot.isServing();
  }

  void setCapacity(int count) {
    capacity = count;
  }

  /** Adds a loading slot and returns the id of the load command. */
  long startLoad(AdapterVersion adapterVersion, long nowMs) {
    lastCommandId++;
    Slot slot = new Slot(adapterVersion, Slot.State.LOADING, lastCommandId, nowMs);
    slot.setQuarantined(quarantinedAdapters.contains(adapterVersion));
    slots.put(adapterVersion, slot);
    return lastCommandId;
  }

  /** Marks a slot as unloading and returns the id of the unload command. */
  long startUnload(Slot slot, long nowMs) {
    lastCommandId++;
    slot.changeState(Slot.State.UNLOADING, lastCommandId, nowMs);
    return lastCommandId;
  }

  /** Marks a slot as resident if the command is the latest one for it. */
  void confirmResident(AdapterVersion adapterVersion, long commandId, long nowMs) {
    Slot slot = slots.get(adapterVersion);
    if (slot != null && slot.lastCommandId() == commandId && !slot.isResident()) {
      slot.changeState(Slot.State.RESIDENT, commandId, nowMs);
    }
  }

  /** Frees a slot if the command is the latest one for it; returns whether it was freed. */
  boolean confirmEmpty(AdapterVersion adapterVersion, long commandId, long nowMs) {
    Slot slot = slots.get(adapterVersion);
    if (slot == null || slot.lastCommandId() != commandId) {
      return false;
    }
    remove(adapterVersion, nowMs);
    return true;
  }

  /** Starts or ends the quarantine of the slots that this owner didn't load itself. */
  void setQuarantine(boolean active) {
    quarantineActive = active;
    quarantinedAdapters.clear();
    if (active) {
      quarantinedAdapters.addAll(slots.keySet());
    }
    slots.values().forEach(slot -> slot.setQuarantined(active));
  }

  /** Allows requests to be dispatched again to draining slots. */
  void stopDraining() {
    slots.values().forEach(slot -> slot.setDraining(false));
  }

  /** Replaces all slots by those that a new incarnation of the engine reported. */
  void replaceAll(Set<AdapterVersion> resident, long nowMs) {
    slots.clear();
    removalTimesMs.clear();
    resident.forEach(adapterVersion -> addResident(adapterVersion, nowMs));
  }

  /**
   * Updates the slots from a state report, except those that changed within the maximum report lag.
   *
   * @param inUse adapter versions of running requests, which a late report may not contain yet
   */
  void reconcile(Set<AdapterVersion> resident, Set<AdapterVersion> inUse, long nowMs) {
    removalTimesMs.values().removeIf(removedMs -> removedMs + MAX_REPORT_LAG_MS <= nowMs);
    slots
        .values()
        .removeIf(
            slot ->
                slot.isResident()
                    && slot.lastChangedMs() + MAX_REPORT_LAG_MS <= nowMs
                    && !inUse.contains(slot.adapterVersion())
                    && !resident.contains(slot.adapterVersion()));
    resident.stream()
        .filter(
            adapterVersion ->
                !slots.containsKey(adapterVersion) && !removalTimesMs.containsKey(adapterVersion))
        .forEach(adapterVersion -> addResident(adapterVersion, nowMs));
  }

  void clear() {
    slots.clear();
    removalTimesMs.clear();
  }

  private void addResident(AdapterVersion adapterVersion, long nowMs) {
    lastCommandId++;
    Slot slot = new Slot(adapterVersion, Slot.State.RESIDENT, lastCommandId, nowMs);
    if (quarantineActive) {
      quarantinedAdapters.add(adapterVersion);
      slot.setQuarantined(true);
    }
    slots.put(adapterVersion, slot);
  }

  private void remove(AdapterVersion adapterVersion, long nowMs) {
    slots.remove(adapterVersion);
    removalTimesMs.put(adapterVersion, nowMs);
  }
}
