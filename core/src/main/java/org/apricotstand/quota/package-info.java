/** Quotas of tenants over all instances: shares by demand, and admission within the own share. */
package org.apricotstand.quota;
