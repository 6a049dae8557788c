/**
 * Decides which instances exchange control state with which others, so that the messages of one
 * instance stay bounded when the fleet grows. Small fleets connect every pair of instances. In
 * larger ones the members of a failure domain report to one relay, and the relays of all failure
 * domains exchange what they know.
 */
package org.apricotstand.overlay;
