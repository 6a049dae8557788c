/** Load and experiment tool: drives arrivals through instances and judges by event lists. */
package org.apricotstand.bench;
