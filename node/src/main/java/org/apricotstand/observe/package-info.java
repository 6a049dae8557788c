/** Logs, metrics and traces. */
package org.apricotstand.observe;
