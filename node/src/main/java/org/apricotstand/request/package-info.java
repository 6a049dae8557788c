/**
 * Handles requests of callers: choice of the target, sending, answer, retries and resumption. Runs
 * on the traffic thread.
 */
package org.apricotstand.request;
