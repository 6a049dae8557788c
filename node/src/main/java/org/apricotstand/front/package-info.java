/** Accepts the connections of callers, reads their requests and writes the answers. */
package org.apricotstand.front;
