/** What this instance knows of targets, engines and other instances, kept on the control thread. */
package org.apricotstand.fleet;
