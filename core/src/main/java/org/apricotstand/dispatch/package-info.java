/** Chooses the target of a request by load, residency and recent failures. */
package org.apricotstand.dispatch;
