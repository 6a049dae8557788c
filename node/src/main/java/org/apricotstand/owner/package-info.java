/** Runs model requests on the engines that this instance owns, in the order of their schedulers. */
package org.apricotstand.owner;
