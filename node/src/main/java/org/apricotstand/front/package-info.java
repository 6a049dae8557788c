/** The side of the callers: connections, requests as they came in, and answers to them. */
package org.apricotstand.front;
