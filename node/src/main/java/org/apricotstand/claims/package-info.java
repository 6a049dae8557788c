/** Claims of requests that must run at most once: table rows, waits at the holder, removal. */
package org.apricotstand.claims;
