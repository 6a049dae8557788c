package org.apricotstand.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;

/**
 * Adapter slots of one engine as its owner believes them to be. Every order has a number; the
 * result of an order changes a slot only while that order is still the newest one for it.
 */
final class SlotTable {

  /** State reports may be this old; they don't overrule a change that is more recent. */
  static final long REPORT_LAG_MS = 5_000;

  private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
  private final Map<AdapterVersion, Long> removedMs = new HashMap<>();
  private long lastOrder;
  private int capacity;
  private boolean quarantine;
  // Kept by name: an inherited adapter that seemed to be gone and is loaded again stays inherited,
  // since the former owner may not have noticed the gap.
  private final Set<AdapterVersion> inherited = new HashSet<>();

  Slot get(AdapterVersion adapterVersion) {
    return slots.get(adapterVersion);
  }

  Collection<Slot> all() {
    return slots.values();
  }

  boolean hasFree() {
    return slots.size() < capacity;
  }

  boolean isServing(AdapterVersion adapterVersion) {
    Slot slot = slots.get(adapterVersion);
    return slot != null && slot.isServing();
  }

  void setCapacity(int count) {
    capacity = count;
  }

  /** Records a load order and returns its number. */
  long startLoad(AdapterVersion adapterVersion, long nowMs) {
    lastOrder++;
    Slot slot = new Slot(adapterVersion, Slot.State.LOADING, lastOrder, nowMs);
    slot.setInherited(inherited.contains(adapterVersion));
    slots.put(adapterVersion, slot);
    return lastOrder;
  }

  /** Records an unload order and returns its number. */
  long startUnload(Slot slot, long nowMs) {
    lastOrder++;
    slot.change(Slot.State.UNLOADING, lastOrder, nowMs);
    return lastOrder;
  }

  /** Marks a slot as resident when the order is still its newest. */
  void confirmResident(AdapterVersion adapterVersion, long order, long nowMs) {
    Slot slot = slots.get(adapterVersion);
    if (slot != null && slot.order() == order && !slot.isResident()) {
      slot.change(Slot.State.RESIDENT, order, nowMs);
    }
  }

  /** Frees a slot when the order is still its newest; returns whether it was freed. */
  boolean confirmEmpty(AdapterVersion adapterVersion, long order, long nowMs) {
    Slot slot = slots.get(adapterVersion);
    if (slot == null || slot.order() != order) {
      return false;
    }
    remove(adapterVersion, nowMs);
    return true;
  }

  /** Starts or ends the quarantine of the slots that this owner didn't fill itself. */
  void setQuarantine(boolean active) {
    quarantine = active;
    inherited.clear();
    if (active) {
      inherited.addAll(slots.keySet());
    }
    slots.values().forEach(slot -> slot.setInherited(active));
  }

  /** Lets requests be dispatched again to slots that were to be emptied. */
  void stopDraining() {
    slots.values().forEach(slot -> slot.setDraining(false));
  }

  /** Replaces all slots by those of a new incarnation of the engine. */
  void restart(Set<AdapterVersion> resident, long nowMs) {
    slots.clear();
    removedMs.clear();
    resident.forEach(adapterVersion -> adopt(adapterVersion, nowMs));
  }

  /**
   * Corrects the slots by a state report, except those that changed within the lag of reports.
   *
   * @param inUse adapter versions of running requests; the report can't yet know them
   */
  void reconcile(Set<AdapterVersion> resident, Set<AdapterVersion> inUse, long nowMs) {
    removedMs.values().removeIf(atMs -> atMs + REPORT_LAG_MS <= nowMs);
    slots
        .values()
        .removeIf(
            slot ->
                slot.isResident()
                    && slot.changedMs() + REPORT_LAG_MS <= nowMs
                    && !inUse.contains(slot.adapterVersion())
                    && !resident.contains(slot.adapterVersion()));
    resident.stream()
        .filter(name -> !slots.containsKey(name) && !removedMs.containsKey(name))
        .forEach(name -> adopt(name, nowMs));
  }

  void clear() {
    slots.clear();
    removedMs.clear();
  }

  private void adopt(AdapterVersion adapterVersion, long nowMs) {
    lastOrder++;
    Slot slot = new Slot(adapterVersion, Slot.State.RESIDENT, lastOrder, nowMs);
    if (quarantine) {
      inherited.add(adapterVersion);
      slot.setInherited(true);
    }
    slots.put(adapterVersion, slot);
  }

  private void remove(AdapterVersion adapterVersion, long nowMs) {
    slots.remove(adapterVersion);
    removedMs.put(adapterVersion, nowMs);
  }
}
