/** Limits that keep queues bounded: admission, retry budget, backoff. */
package org.apricotstand.limit;
