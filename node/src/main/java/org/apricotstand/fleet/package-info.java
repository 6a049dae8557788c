/**
 * State of targets, engines and other instances as known here, maintained on the control thread.
 */
package org.apricotstand.fleet;
