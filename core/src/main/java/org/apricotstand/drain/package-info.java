/** Planned stop of an instance: when it takes no more requests, and when its process may end. */
package org.apricotstand.drain;
