/** Per-engine scheduling at the owner: queue, adapter slots, loads, evictions and dispatch. */
package org.apricotstand.schedule;
