/**
 * Interfaces to the external systems that an instance depends on. A translation layer for each
 * platform implements them.
 */
package org.apricotstand.port;
