/**
 * Entry side of an instance: admits the requests of callers, sends them to owners of engines or to
 * plain services, and returns the answers.
 */
package org.apricotstand.entry;
