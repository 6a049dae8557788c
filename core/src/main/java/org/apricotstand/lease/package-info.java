/** Instance leases, ownership of engines, takeover, handover and promises. */
package org.apricotstand.lease;
