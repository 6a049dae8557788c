/**
 * Claims requests that must run at most once, so that a duplicate gets the outcome of the first
 * run.
 */
package org.apricotstand.claim;
