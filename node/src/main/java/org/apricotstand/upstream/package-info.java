/** Connections to targets: one request at a time on each, answers matched by request id. */
package org.apricotstand.upstream;
