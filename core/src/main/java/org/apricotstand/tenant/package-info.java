/** Tenants of the serving path: their names, priorities, quotas and API keys. */
package org.apricotstand.tenant;
