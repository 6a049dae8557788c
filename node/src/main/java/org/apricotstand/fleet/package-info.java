/**
 * State of targets, engines and other instances as known to this instance; maintained on the
 * control thread.
 */
package org.apricotstand.fleet;
