/** Which revision is in force, how it spreads, and how a new one is applied. */
package org.apricotstand.revision;
