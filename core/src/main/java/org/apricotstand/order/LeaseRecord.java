package org.apricotstand.order;

/**
 * Row of an engine's lease in the table service.
 *
 * @param engine id of the engine
 * @param holder name of the instance that may send commands; empty after a release
 * @param rowVersion version of the row; 0 when there is none
 */
public record LeaseRecord(String engine, String holder, long rowVersion) {}
