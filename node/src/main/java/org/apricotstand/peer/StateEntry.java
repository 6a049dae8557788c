package org.apricotstand.peer;

/**
 * One entry of the fleet's state, as it is sent between instances.
 *
 * @param key name of the entry, unique in the fleet
 * @param epoch number that increases with each writer of the entry
 * @param sequence number that increases with each change by that writer
 * @param domain failure domain of the writer
 * @param state content
 */
public record StateEntry(String key, long epoch, long sequence, String domain, FleetState state) {}
