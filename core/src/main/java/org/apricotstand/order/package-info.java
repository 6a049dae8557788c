/** Who may send control commands to an engine: leases in the table service. */
package org.apricotstand.order;
