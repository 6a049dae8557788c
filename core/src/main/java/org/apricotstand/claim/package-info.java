/** At-most-once execution of requests that must not be repeated. */
package org.apricotstand.claim;
