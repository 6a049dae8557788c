/**
 * Decides which revision is active, distributes revisions to all instances, and applies new ones.
 */
package org.apricotstand.revision;
