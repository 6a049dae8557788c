/**
 * Connections to targets. Each carries one request at a time; answers are matched by request id.
 */
package org.apricotstand.upstream;
