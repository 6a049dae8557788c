/** Server-sent events in the answers of targets. */
package org.apricotstand.sse;
