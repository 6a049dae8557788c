/** Runs the ownership of engines over the platform's tables and the peer links. */
package org.apricotstand.ownership;
