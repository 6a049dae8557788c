/** Scheduling at the owner of an engine: queue, adapter slots, loads, evictions and dispatch. */
package org.apricotstand.schedule;
