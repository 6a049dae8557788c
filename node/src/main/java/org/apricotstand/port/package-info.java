/**
 * Interfaces to the external systems that the product depends on. A translation layer for each
 * platform implements them.
 */
package org.apricotstand.port;
