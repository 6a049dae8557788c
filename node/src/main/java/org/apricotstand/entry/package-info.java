/** Caller side of requests: admission, placement, and the answer back to the caller. */
package org.apricotstand.entry;
