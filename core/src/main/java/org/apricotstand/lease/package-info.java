/**
 * Decides which instance owns which engine: instance leases, takeover, handover, and promises of
 * peers that extend a lease while the platform is unreachable.
 */
package org.apricotstand.lease;
