/**
 * Leases in the table service that decide which instance may send control commands to an engine.
 */
package org.apricotstand.enginelease;
