/** Bounds the input that an event loop handles before it turns to other connections. */
package org.apricotstand.input;
